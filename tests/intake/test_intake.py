"""Tests of the intake without sockets: admission, responses, calls of pull workers, load limits."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

import attrs
import orjson
import pytest
from multidict import CIMultiDict

from hollowusher.configuration.host_names import normalized_host
from hollowusher.configuration.model import read_document
from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.coordination.rendezvous import ordering_partition, rank_partitions
from hollowusher.intake.admission import (
    Admission,
    ClientRequest,
    Rejection,
    RejectionReason,
    RouteIndex,
    admit,
    is_valid_callback_url,
    parse_milliseconds,
    reject_head,
)
from hollowusher.intake.intake_service import (
    DRAINING_PULL_WAIT_S,
    RESPONSE_MARGIN_S,
    ClientResponse,
    IntakeLimits,
    IntakeService,
)
from hollowusher.intake.load_limiter import LoadLimiter
from hollowusher.intake.pull_worker_headers import finish_result, store_lease_id, worker_lease_id
from hollowusher.protocol.distribution import DistributedItem
from hollowusher.protocol.leases import ExtendLease, FinishLease, LeasedJob, LeaseUpdateResponse
from hollowusher.protocol.messages import MessageStatusResponse, NewMessage, PutResponse
from hollowusher.protocol.placement import PartitionPlacement, Placement
from hollowusher.simulation.event_loop import VirtualTimeLoop

HOST = "boye61.example"


def route(name: str, prefix: str, upstream: str = "plain", **more: Any) -> dict[str, Any]:
    return {
        "name": name,
        "hostname": HOST,
        "pathPrefix": prefix,
        "type": "async",
        "timeoutMs": 1500,
        "upstream": upstream,
        "maxAttempts": 3,
        "retentionS": 90.5,
        "priority": 2,
        "targetStartMs": 1200,
        **more,
    }


DOCUMENT = {
    "generation": 4,
    "routes": [
        route("short", "/a/"),
        route("long", "/a/b/"),
        route("ordered", "/o/", "kept-in-order", ordered=True),
        route("beside-ordered", "/p/", "kept-in-order"),
        route("capped", "/c/", "capped"),
        route("told", "/t/", callbackUrl=True),
        route("other-type", "/s/", type="sync"),
        route("odd", "/pull/taken/"),
    ],
    "upstreams": [
        {"name": "plain"},
        {"name": "kept-in-order"},
        {"name": "capped", "ratePerS": 9.5},
        {"name": "pulled", "pull": True},
    ],
    "limits": {"maxBodyBytes": 100},
}
INDEX = RouteIndex(read_document(orjson.dumps(DOCUMENT)))


def request(
    target: str = "/a/1?q=2", method: str = "POST", body: bytes = b"body", host: str = HOST, **headers: str
) -> ClientRequest:
    """Return a request; underscores in header names become hyphens, and an empty value omits the header."""
    values = {"Host": host, "X-Attempt-Id": "id1"}
    values.update({name.replace("_", "-"): value for name, value in headers.items()})
    return ClientRequest(method, target, CIMultiDict({k: v for k, v in values.items() if v}), body)


def admitted(wanted: ClientRequest) -> Admission:
    found = admit(wanted, INDEX)
    assert isinstance(found, Admission), found
    return found


class TestAdmission:
    def test_a_message_contains_the_request_and_its_routes_settings(self) -> None:
        found = admitted(request(Content_Type="text/csv", X_Deadline_Ms="1500", X_Delay_Ms="20.2"))
        assert found.remaining_client_wait_s == 1.5
        assert found.message == NewMessage(
            id="id1",
            route="short",
            service="plain",
            method="POST",
            path="/a/1?q=2",
            host=HOST,
            body=b"body",
            content_type="text/csv",
            delay_ms=21,
            max_attempts=3,
            retention_ms=90_500,
            timeout_ms=1500,
            priority=2,
            target_start_ms=1200,
            generation=4,
        )

    @pytest.mark.parametrize(
        "target, name",
        [
            ("/a/", "short"),
            ("/a/b", "short"),
            ("/a/b/", "long"),
            ("/a/b/c?x", "long"),
            ("/a/../o/", "short"),
        ],
    )
    def test_the_longest_prefix_wins(self, target: str, name: str) -> None:
        assert admitted(request(target)).message.route == name

    @pytest.mark.parametrize("host", [HOST, f"{HOST}:8069", "BOYE61.example"])
    def test_host_names_are_compared_without_port_and_case(self, host: str) -> None:
        assert admitted(request(host=host)).message.host == HOST

    @pytest.mark.parametrize(
        "wanted, status, reason",
        [
            (request("/none"), 404, RejectionReason.NO_ROUTE),
            (request(host="huno84.example"), 404, RejectionReason.NO_ROUTE),
            (request("/none", X_Attempt_Id=""), 404, RejectionReason.NO_ROUTE),
            (request(host=""), 400, RejectionReason.MALFORMED),
            (request("http://boye61.example/a/"), 400, RejectionReason.MALFORMED),
            (request("/a/\udcff"), 400, RejectionReason.MALFORMED),
            (request(X_Attempt_Id=""), 400, RejectionReason.MALFORMED),
            (request(X_Attempt_Id="a b"), 400, RejectionReason.MALFORMED),
            (request(X_Attempt_Id="x" * 257), 400, RejectionReason.MALFORMED),
            (request(X_Delay_Ms="soon"), 400, RejectionReason.MALFORMED),
            (request(X_Delay_Ms="-1"), 400, RejectionReason.MALFORMED),
            (request(X_Delay_Ms="nan"), 400, RejectionReason.MALFORMED),
            (request(X_Delay_Ms="1e3"), 400, RejectionReason.MALFORMED),
            (request(X_Delay_Ms="٣"), 400, RejectionReason.MALFORMED),
            (request(X_Deadline_Ms="inf"), 400, RejectionReason.MALFORMED),
            (request(X_Deadline_Ms="9" * 12), 400, RejectionReason.MALFORMED),
            (request(Content_Type="a\udcff"), 400, RejectionReason.MALFORMED),
            (request("/o/", X_Ordering_Key="\udcff"), 400, RejectionReason.MALFORMED),
            (request("/o/", X_Ordering_Key="k" * 1025), 400, RejectionReason.MALFORMED),
            (request("/t/", X_Callback_Url="ftp://10.0.0.4:80/"), 400, RejectionReason.MALFORMED),
            (request(body=b"x" * 101), 413, RejectionReason.TOO_LARGE),
            (request("/s/"), 503, RejectionReason.NOT_READY),
        ],
    )
    def test_rejections(self, wanted: ClientRequest, status: int, reason: RejectionReason) -> None:
        found = admit(wanted, INDEX)
        assert isinstance(found, Rejection)
        assert (found.status, found.reason) == (status, reason)

    def test_a_body_of_the_maximum_length_is_accepted(self) -> None:
        assert len(admitted(request(body=b"x" * 100)).message.body) == 100

    def test_only_ordered_routes_use_the_ordering_key(self) -> None:
        assert admitted(request("/o/", X_Ordering_Key="kéy")).message.ordering_key == "kéy"
        assert admitted(request("/a/", X_Ordering_Key="key")).message.ordering_key == ""

    def test_only_callback_routes_use_the_callback_url(self) -> None:
        url = "http://10.0.0.4:8080/done"
        assert admitted(request("/t/", X_Callback_Url=url)).message.callback_url == url
        assert admitted(request("/t/")).message.callback_url == ""
        assert admitted(request("/a/", X_Callback_Url="nonsense")).message.callback_url == ""

    @pytest.mark.parametrize(
        "target, requires_home",
        [
            ("/a/", False),
            ("/o/", False),
            ("/p/", False),
            ("/c/", True),
        ],
    )
    def test_rate_limited_services_require_the_home_partition(self, target: str, requires_home: bool) -> None:
        assert admitted(request(target)).requires_home is requires_home

    def test_the_client_wait_starts_when_the_head_arrives(self) -> None:
        assert admitted(request()).remaining_client_wait_s == 1.0
        assert admitted(attrs.evolve(request(), waited_s=0.3)).remaining_client_wait_s == pytest.approx(0.7)
        assert admitted(attrs.evolve(request(), waited_s=3.0)).remaining_client_wait_s == 0.0

    def test_a_declared_length_above_the_limit_is_rejected_by_the_head(self) -> None:
        assert reject_head(request(body=b""), INDEX, 100) is None
        assert reject_head(request(body=b""), INDEX, None) is None
        found = reject_head(request(body=b""), INDEX, 101)
        assert found is not None and found.status == 413

    @pytest.mark.parametrize(
        "url, valid",
        [
            ("http://10.20.0.4:8080/done", True),
            ("http://10.20.0.4:8080/a?b=c", True),
            ("http://10.20.0.4:8080", False),
            ("http://10.20.0.4/done", False),
            ("https://10.20.0.4:80/", False),
            ("http://name:80/", False),
            ("http://10.20.0.256:80/", False),
            ("http://10.20.0.4:0/", False),
            ("http://10.20.0.4:65536/", False),
            ("http://10.20.0.4:80/a b", False),
            ("http://u@10.0.0.4:80/", False),
        ],
    )
    def test_callback_urls(self, url: str, valid: bool) -> None:
        assert is_valid_callback_url(url) is valid

    def test_milliseconds_and_host_names(self) -> None:
        assert [parse_milliseconds(text) for text in ("0", " 1500 ", "1.5", "", "1_0", "0x1")] == [
            0,
            1500,
            1.5,
            None,
            None,
            None,
        ]
        assert normalized_host(" A.Example:80 ") == "a.example"


class TestPullWorkerHeaders:
    @pytest.mark.parametrize(
        "status, signature, result",
        [
            ("200", "s", "success"),
            ("204", "s", "success"),
            ("200", "", "unknown"),
            ("500", "", "failed"),
            ("500", "s", "failed"),
            ("422", "", "refused"),
            ("503", "", "not_run"),
            ("429", "", "not_run"),
            ("400", "", "not_run"),
            ("504", "", "unknown"),
            ("", "", "unknown"),
            ("2xx", "s", "unknown"),
            ("2000", "s", "unknown"),
        ],
    )
    def test_finish_results(self, status: str, signature: str, result: str) -> None:
        assert finish_result(status, signature) == result

    def test_a_lease_belongs_to_its_message(self) -> None:
        given = worker_lease_id("3-1-17-2", "id1")
        assert store_lease_id(given, "id1") == "3-1-17-2"
        assert store_lease_id(given, "id2") is None
        assert store_lease_id("3-1-17-2", "id1") is None
        assert store_lease_id(given.replace("17", "18") + "0", "id1") is None
        assert store_lease_id("", "id1") is None


def test_the_load_limiter_counts_requests_and_bytes() -> None:
    limiter = LoadLimiter(2, 100)
    assert limiter.try_acquire(60)
    assert not limiter.try_acquire(41)
    assert limiter.try_acquire(40)
    assert not limiter.try_acquire(0)
    assert not limiter.try_grow(1)
    limiter.release(60)
    assert limiter.try_grow(60)
    limiter.release(100)
    assert (limiter.requests, limiter.bytes) == (0, 0)


class FakeStore:
    """A message store with configurable responses; if `hold` is set, puts wait for `release`."""

    def __init__(self) -> None:
        self.put_answer = PutResponse("stored", "3-1-17")
        self.lease_answer = LeaseUpdateResponse("taken")
        self.status_answer = MessageStatusResponse("queued", body=b"bytes")
        self.calls: list[Any] = []
        self.candidates: list[int] = []
        self.times: tuple[float, float | None] = (0, None)
        self.hold = False
        self.release = asyncio.Event()

    async def put(
        self, message: NewMessage, candidates: Sequence[int], deadline: float, reject_at: float | None = None
    ) -> PutResponse:
        self.calls.append(message)
        self.candidates = list(candidates)
        self.times = (deadline, reject_at)
        if self.hold:
            await self.release.wait()
        return self.put_answer

    async def finish(self, request: FinishLease, deadline: float) -> LeaseUpdateResponse:
        self.calls.append(request)
        return self.lease_answer

    async def extend(self, request: ExtendLease, deadline: float) -> LeaseUpdateResponse:
        self.calls.append(request)
        return self.lease_answer

    async def status(self, reference: str, want_body: bool, deadline: float) -> MessageStatusResponse:
        self.calls.append((reference, want_body))
        return self.status_answer


class FakePullDispatcher:
    """A pull dispatcher that returns one fixed job or None."""

    def __init__(self, job: LeasedJob | None) -> None:
        self.job = job
        self.calls: list[tuple[str, str, float]] = []

    async def pull(self, service: str, instance: str, wait_s: float) -> LeasedJob | None:
        self.calls.append((service, instance, wait_s))
        return self.job


JOB = LeasedJob("3-1-17-2", NewMessage("id1", "r", "pulled", "PUT", "/a/1?q", HOST, b"job"), 0, 500)


class IntakeHarness:
    """An intake service with a fake store and a fake pull dispatcher."""

    def __init__(
        self, loop: VirtualTimeLoop, job: LeasedJob | None = None, limits: IntakeLimits | None = None
    ) -> None:
        self.loop = loop
        self.state = ClusterState()
        self.store = FakeStore()
        self.dispatcher = FakePullDispatcher(job)
        self.ranking_count = 0
        self.intake = IntakeService(
            self.state, self.store, self.dispatcher, self.rank_partitions, loop.time, limits
        )
        self.place(1, [0, 1, 2])
        self.configure(1, DOCUMENT)

    def rank_partitions(self, service: str, partitions: Sequence[int]) -> list[int]:
        self.ranking_count += 1
        return sorted(partitions, reverse=True)

    def rank_by_service(self) -> None:
        """Let the home partition depend on the service, as in a real process."""
        self.intake._rank_partitions = rank_partitions

    def place(self, version: int, partitions: list[int]) -> None:
        entries = [PartitionPlacement(number, 1, "one/d", ["one/d"]) for number in partitions]
        self.state.apply(
            [DistributedItem("placement", [version], "c", version, Placement(version, entries))], {}
        )

    def configure(self, version: int, document: dict[str, Any]) -> None:
        self.state.apply(
            [DistributedItem("configuration", [version], "c", version, orjson.dumps(document))], {}
        )

    async def handle(self, wanted: ClientRequest, is_disconnected: bool = False) -> ClientResponse:
        return await self.intake.handle(wanted, lambda: is_disconnected)


def play(
    work: Callable[[IntakeHarness], Coroutine[Any, Any, Any]],
    job: LeasedJob | None = None,
    limits: IntakeLimits | None = None,
) -> None:
    loop = VirtualTimeLoop()
    try:
        loop.play(work(IntakeHarness(loop, job, limits)))
    finally:
        loop.shut()


def header(answer: ClientResponse, name: str) -> str | None:
    return dict(answer.headers).get(name)


class TestMessages:
    def test_a_stored_message_is_answered_with_its_reference(self) -> None:
        async def work(harness: IntakeHarness) -> None:
            answer = await harness.handle(request(X_Deadline_Ms="2000"))
            assert (answer.status, header(answer, "X-Message-Ref")) == (202, "3-1-17")
            assert harness.store.candidates == [2, 1, 0]
            deadline, reject_at = harness.store.times
            assert deadline == pytest.approx(1002 - RESPONSE_MARGIN_S)
            assert reject_at == pytest.approx(1000.8)
            assert harness.intake.metrics.accepted == 1

        play(work)

    def test_messages_that_require_home_have_one_candidate(self) -> None:
        async def work(harness: IntakeHarness) -> None:
            await harness.handle(request("/c/"))
            assert harness.store.candidates == [2]

        play(work)

    # Guards against: a route that moves to another service, and the later messages of a key to another store.
    @pytest.mark.parametrize("key", ["parcel-17", "kéy", "k" * 1024])
    def test_the_partition_of_an_ordering_key_does_not_depend_on_the_service(self, key: str) -> None:
        async def work(harness: IntakeHarness) -> None:
            harness.rank_by_service()
            harness.place(2, list(range(16)))
            candidates = []
            for version, service in enumerate(("kept-in-order", "capped", "plain"), 2):
                ordered = route("line", "/o/", service, ordered=True)
                harness.configure(version, {**DOCUMENT, "routes": [ordered]})
                await harness.handle(request("/o/", X_Ordering_Key=key))
                candidates.append(harness.store.candidates)
            assert candidates == [[ordering_partition("line", range(16))]] * 3

        play(work)

    def test_an_ordering_key_is_not_stored_before_there_is_a_placement(self) -> None:
        async def work(harness: IntakeHarness) -> None:
            harness.place(2, [])
            await harness.handle(request("/o/", X_Ordering_Key="key"))
            assert harness.store.candidates == []

        play(work)

    def test_candidates_are_ranked_once_for_each_placement(self) -> None:
        async def work(harness: IntakeHarness) -> None:
            await harness.handle(request())
            await harness.handle(request())
            assert harness.ranking_count == 1
            harness.place(2, [0, 1, 2, 3])
            await harness.handle(request())
            assert harness.store.candidates == [3, 2, 1, 0]

        play(work)

    @pytest.mark.parametrize("deadline, seconds", [("1000", "0"), ("5000", "1")])
    def test_a_message_that_no_store_accepted_gets_503_with_retry_after(
        self, deadline: str, seconds: str
    ) -> None:
        async def work(harness: IntakeHarness) -> None:
            harness.store.put_answer = PutResponse("unavailable")
            answer = await harness.handle(request(X_Deadline_Ms=deadline))
            assert (answer.status, header(answer, "Retry-After")) == (503, seconds)
            assert harness.intake.metrics.refused_unavailable == 1

        play(work)

    def test_a_message_with_an_unknown_outcome_gets_504(self) -> None:
        async def work(harness: IntakeHarness) -> None:
            harness.store.put_answer = PutResponse("unknown")
            answer = await harness.handle(request())
            assert (answer.status, header(answer, "Retry-After")) == (504, None)
            assert harness.intake.metrics.unknown == 1

        play(work)

    @pytest.mark.parametrize(
        "limits", [IntakeLimits(max_puts=2), IntakeLimits(max_bytes=8)], ids=["requests", "bytes"]
    )
    def test_a_message_above_the_load_limit_is_rejected_at_once(self, limits: IntakeLimits) -> None:
        async def work(harness: IntakeHarness) -> None:
            harness.store.hold = True
            under_way = [asyncio.create_task(harness.handle(request())) for _ in range(2)]
            await asyncio.sleep(0)
            answer = await harness.handle(request())
            assert answer.status == 503
            assert header(answer, "Retry-After") is not None
            assert harness.intake.metrics.refused_load == 1
            assert len(harness.store.calls) == 2
            harness.store.release.set()
            assert [done.status for done in await asyncio.gather(*under_way)] == [202, 202]
            assert (await harness.handle(request())).status == 202

        play(work, limits=limits)

    def test_a_cancelled_put_releases_the_load_limiter(self) -> None:
        async def work(harness: IntakeHarness) -> None:
            harness.store.hold = True
            waiting = asyncio.create_task(harness.handle(request()))
            await asyncio.sleep(0)
            waiting.cancel()
            with pytest.raises(asyncio.CancelledError):
                await waiting
            assert (harness.intake.load_limiter.requests, harness.intake.load_limiter.bytes) == (0, 0)

        play(work)

    def test_rejections_are_counted_by_reason(self) -> None:
        async def work(harness: IntakeHarness) -> None:
            statuses = [
                (await harness.handle(wanted)).status
                for wanted in (
                    request("/none"),
                    request(X_Attempt_Id=""),
                    request(body=b"x" * 101),
                    request("/s/"),
                )
            ]
            assert statuses == [404, 400, 413, 503]
            metrics = harness.intake.metrics
            assert (metrics.no_route, metrics.malformed, metrics.too_large, metrics.refused_unready) == (
                1,
                1,
                1,
                1,
            )
            assert harness.store.calls == []

        play(work)

    def test_without_a_configuration_the_status_is_503_and_not_404(self) -> None:
        async def work(harness: IntakeHarness) -> None:
            intake = IntakeService(
                ClusterState(), harness.store, harness.dispatcher, harness.rank_partitions, harness.loop.time
            )
            for wanted in (request(), request("/pull/pulled"), request("/none")):
                assert (await intake.handle(wanted)).status == 503

        play(work)

    def test_a_new_configuration_applies_at_once(self) -> None:
        async def work(harness: IntakeHarness) -> None:
            assert (await harness.handle(request("/new/"))).status == 404
            harness.configure(2, {**DOCUMENT, "routes": [route("new", "/new/")]})
            assert (await harness.handle(request("/new/"))).status == 202
            assert (await harness.handle(request("/a/"))).status == 404

        play(work)


class TestMessageStatus:
    @pytest.mark.parametrize(
        "state, body",
        [
            (MessageStatusResponse("queued"), {"state": "queued"}),
            (MessageStatusResponse("completed", "3e1b"), {"state": "completed", "signature": "3e1b"}),
            (MessageStatusResponse("dead_letter", "ignored"), {"state": "dead_letter"}),
        ],
    )
    def test_a_state_is_reported(self, state: MessageStatusResponse, body: dict[str, str]) -> None:
        async def work(harness: IntakeHarness) -> None:
            harness.store.status_answer = state
            answer = await harness.handle(request("/message/3-1-17", "GET"))
            assert (answer.status, answer.content_type) == (200, "application/json")
            assert orjson.loads(answer.body) == body
            assert harness.store.calls == [("3-1-17", False)]

        play(work)

    @pytest.mark.parametrize(
        "answer, status",
        [
            (MessageStatusResponse("queued", body=b"\x00b"), 200),
            (MessageStatusResponse("dead_letter", body=b"\x00b"), 200),
            (MessageStatusResponse("completed"), 404),
            (MessageStatusResponse("queued"), 503),
            (MessageStatusResponse("unknown"), 404),
            (MessageStatusResponse("unavailable"), 503),
        ],
    )
    def test_the_body_of_a_message_is_returned(self, answer: MessageStatusResponse, status: int) -> None:
        async def work(harness: IntakeHarness) -> None:
            harness.store.status_answer = answer
            found = await harness.handle(request("/message-body/3-1-17", "GET"))
            assert found.status == status
            assert status != 200 or found.body == b"\x00b"
            assert harness.store.calls == [("3-1-17", True)]

        play(work)

    @pytest.mark.parametrize("state, status", [("unknown", 404), ("unavailable", 503), ("not_primary", 503)])
    def test_only_an_unknown_message_gets_404(self, state: str, status: int) -> None:
        async def work(harness: IntakeHarness) -> None:
            harness.store.status_answer = MessageStatusResponse(state)
            assert (await harness.handle(request("/message/3-1-17", "GET"))).status == status

        play(work)

    def test_a_status_request_needs_no_configuration_and_no_head_check(self) -> None:
        async def work(harness: IntakeHarness) -> None:
            intake = IntakeService(
                ClusterState(), harness.store, None, harness.rank_partitions, harness.loop.time
            )
            assert (await intake.handle(request("/message/3-1-17", "GET"))).status == 200
            assert intake.reject_head(request("/message/3-1-17", "GET"), None) is None

        play(work)

    def test_other_methods_on_these_paths_are_messages(self) -> None:
        async def work(harness: IntakeHarness) -> None:
            assert (await harness.handle(request("/message/3-1-17"))).status == 404

        play(work)


def worker_request(target: str, **headers: str) -> ClientRequest:
    return request(target, "POST", b"", "10.0.0.1:8069", X_Attempt_Id="", **headers)


class TestPulls:
    def test_a_job_is_delivered(self) -> None:
        async def work(harness: IntakeHarness) -> None:
            answer = await harness.handle(
                worker_request("/pull/pulled", X_Instance_Id="i-1", X_Wait_Ms="1000")
            )
            assert (answer.status, answer.body) == (200, b"job")
            assert dict(answer.headers) == {
                "X-Attempt-Id": "id1",
                "X-Job-Method": "PUT",
                "X-Job-Path": "/a/1?q",
                "X-Lease-Id": worker_lease_id("3-1-17-2", "id1"),
            }
            assert harness.dispatcher.calls == [("pulled", "i-1", 1.0)]
            assert harness.intake.metrics.pulls_served == 1

        play(work, JOB)

    @pytest.mark.parametrize("path", ["/pull/pulled?x=1", "/pull/%70ulled", "/pull/%70ulled?x"])
    def test_the_service_in_the_path_may_be_percent_encoded(self, path: str) -> None:
        async def work(harness: IntakeHarness) -> None:
            answer = await harness.handle(worker_request(path, X_Instance_Id="i-1"))
            assert answer.status == 200
            assert harness.dispatcher.calls[0][0] == "pulled"

        play(work, JOB)

    def test_a_pulled_job_includes_its_ordering_key(self) -> None:
        async def work(harness: IntakeHarness) -> None:
            answer = await harness.handle(worker_request("/pull/pulled", X_Instance_Id="i"))
            assert header(answer, "X-Ordering-Key") == "k"

        message: Any = JOB.message
        play(work, LeasedJob("3-1-17-2", attrs.evolve(message, ordering_key="k"), 0, 500))

    def test_no_job(self) -> None:
        async def work(harness: IntakeHarness) -> None:
            answer = await harness.handle(worker_request("/pull/pulled", X_Instance_Id="i", X_Wait_Ms="10"))
            assert answer.status == 204
            assert harness.intake.metrics.pulls_empty == 1

        play(work)

    def test_a_job_for_a_disconnected_worker_is_released(self) -> None:
        async def work(harness: IntakeHarness) -> None:
            answer = await harness.handle(
                worker_request("/pull/pulled", X_Instance_Id="i"), is_disconnected=True
            )
            assert answer.status == 204
            await harness.intake.wait_for_background_calls()
            assert harness.store.calls == [FinishLease("3-1-17-2", "not_run")]
            assert harness.intake.metrics.jobs_given_back == 1

        play(work, JOB)

    @pytest.mark.parametrize(
        "wanted, status",
        [
            (worker_request("/pull/none", X_Instance_Id="i"), 404),
            (worker_request("/pull/plain", X_Instance_Id="i"), 404),
            (worker_request("/pull/pulled"), 400),
            (worker_request("/pull/pulled", X_Instance_Id="i", X_Wait_Ms="long"), 400),
        ],
    )
    def test_rejections(self, wanted: ClientRequest, status: int) -> None:
        async def work(harness: IntakeHarness) -> None:
            assert (await harness.handle(wanted)).status == status
            assert harness.dispatcher.calls == []

        play(work, JOB)

    def test_a_draining_process_shortens_the_wait_of_pull_calls(self) -> None:
        async def work(harness: IntakeHarness) -> None:
            harness.intake.drain()
            await harness.handle(worker_request("/pull/pulled", X_Instance_Id="i", X_Wait_Ms="20000"))
            assert harness.dispatcher.calls == [("pulled", "i", DRAINING_PULL_WAIT_S)]

        play(work)

    def test_the_number_of_pull_calls_is_limited(self) -> None:
        async def work(harness: IntakeHarness) -> None:
            answer = await harness.handle(worker_request("/pull/pulled", X_Instance_Id="i"))
            assert answer.status == 503
            assert harness.dispatcher.calls == []

        play(work, JOB, IntakeLimits(max_pulls=0))

    def test_a_route_takes_precedence_over_a_worker_path(self) -> None:
        async def work(harness: IntakeHarness) -> None:
            assert (await harness.handle(request("/pull/taken/1"))).status == 202

        play(work, JOB)


class TestLeases:
    @pytest.mark.parametrize(
        "path, expected",
        [
            ("/job-end/id1", FinishLease("3-1-17-2", "success", "sig")),
            ("/job-extend/id1", ExtendLease("3-1-17-2")),
        ],
    )
    @pytest.mark.parametrize(
        "answer, status",
        [
            ("taken", 200),
            ("gone", 409),
            ("unavailable", 503),
            ("not_primary", 503),
        ],
    )
    def test_the_status_follows_from_the_stores_response(
        self, path: str, expected: Any, answer: str, status: int
    ) -> None:
        async def work(harness: IntakeHarness) -> None:
            harness.store.lease_answer = LeaseUpdateResponse(answer)
            found = await harness.handle(
                worker_request(
                    path,
                    X_Lease_Id=worker_lease_id("3-1-17-2", "id1"),
                    X_Job_Result="200",
                    X_Server_Signature="sig",
                )
            )
            assert found.status == status
            assert harness.store.calls == [expected]

        play(work)

    @pytest.mark.parametrize("path", ["/job-end/id2", "/job-extend/id2"])
    def test_the_lease_of_another_message_is_gone(self, path: str) -> None:
        async def work(harness: IntakeHarness) -> None:
            found = await harness.handle(
                worker_request(path, X_Lease_Id=worker_lease_id("3-1-17-2", "id1"), X_Job_Result="500")
            )
            assert found.status == 409
            assert harness.store.calls == []

        play(work)

    def test_a_failure_carries_no_signature(self) -> None:
        async def work(harness: IntakeHarness) -> None:
            await harness.handle(
                worker_request(
                    "/job-end/id1",
                    X_Lease_Id=worker_lease_id("3-1-17-2", "id1"),
                    X_Job_Result="500",
                    X_Server_Signature="sig",
                )
            )
            assert harness.store.calls == [FinishLease("3-1-17-2", "failed")]

        play(work)


class TestRequestHeads:
    def test_an_invalid_request_is_rejected_before_its_body_is_read(self) -> None:
        async def work(harness: IntakeHarness) -> None:
            refuse = harness.intake.reject_head
            found = [refuse(request("/none", body=b""), 5), refuse(request(body=b""), 101)]
            assert [answer.status for answer in found if answer is not None] == [404, 413]
            assert refuse(request(body=b""), 100) is None
            assert refuse(worker_request("/job-end/id1"), 100) is None

        play(work)
