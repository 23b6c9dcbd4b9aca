import asyncio
async def serve_store(settings, path):
    print("up", settings.node_name, settings.data_dir, settings.counts_for_quorum, flush=True)
    await asyncio.Event().wait()
