import asyncio
from hollowusher.transport.tcp import split_address
async def serve_edge(settings, path):
    async def h(r,w):
        w.write(b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n"); w.close()
    for a in (settings.bind.frontend, settings.bind.readiness, settings.bind.admin):
        host, port = split_address(a)
        await asyncio.start_server(h, host, port)
    print("up", settings.node_name, settings.seed_nodes, settings.data_dir, settings.counts_for_quorum, flush=True)
    await asyncio.Event().wait()
