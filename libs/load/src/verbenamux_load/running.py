"""Open-loop load: requests are sent on schedule, not after answers."""

import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

import gevent
from gevent.pool import Group
from geventhttpclient import HTTPClient

from verbenamux_load.history import HistoryWriter, Invocation
from verbenamux_load.plan import Caller, CallKind, LoadPlan
from verbenamux_load.prompts import digest_of, make_prompt
from verbenamux_load.sending import Call, is_ready, open_client, send_call

PROBE_INTERVAL_SECONDS = 0.2
PROBE_TIMEOUT = timedelta(seconds=1)


@dataclass(slots=True)
class LoadRun:
    """One run of a plan; times are seconds since its start."""

    plan: LoadPlan
    history: HistoryWriter = field(default_factory=HistoryWriter)
    started: float = field(default_factory=time.monotonic)
    call_greenlets: Group = field(default_factory=Group)
    unready_gateways: set[str] = field(default_factory=set)
    idle_by_gateway: dict[str, list[HTTPClient]] = field(default_factory=dict)

    def now(self) -> float:
        """Return seconds since the run started."""
        return time.monotonic() - self.started

    def run(self) -> None:
        """Send all requests and wait for all answers.

        Like a load balancer, send only to gateways that report ready.
        """
        probes = [
            gevent.spawn(self._probe_readiness, gateway)
            for gateway in self.plan.gateways
        ]
        callers = [
            gevent.spawn(self._run_caller, index, caller)
            for index, caller in enumerate(self.plan.callers)
        ]
        gevent.joinall(callers, raise_error=True)
        self.call_greenlets.join()
        gevent.killall(probes)

    def _run_caller(self, index: int, caller: Caller) -> None:
        random = Random(f'{self.plan.seed}/{index}/{caller.name}')
        for number, due in enumerate(self._send_times(caller, random)):
            delay = due - self.now()
            if delay > 0:
                gevent.sleep(delay)
            for copy in range(caller.repeats):
                call_id = f'{caller.name}~{number * caller.repeats + copy}'
                self.call_greenlets.spawn(
                    self._send_one,
                    caller,
                    call_id,
                    f'idem-{caller.name}-{number}',
                )

    def _send_times(self, caller: Caller, random: Random) -> Iterator[float]:
        stop = caller.stop or self.plan.duration
        due = caller.start.total_seconds()
        while True:
            due += random.expovariate(caller.rate)
            if due >= stop.total_seconds():
                return
            yield due

    def _send_one(self, caller: Caller, call_id: str, shared_key: str) -> None:
        random = Random(f'{self.plan.seed}/{call_id}')
        idempotency_key = shared_key if caller.idempotency_keys else ''
        gateway = self._pick_gateway(random)
        prompt = make_prompt(
            call_id,
            caller.shared_words,
            caller.prompt_words,
            random,
        )
        model = random.choice(caller.models) if caller.models else ''
        self.history.add(
            Invocation(
                call_id,
                caller.name,
                self.now(),
                caller.kind.value,
                model,
                digest_of(prompt),
                caller.output_tokens,
                caller.idempotent is not False,
                gateway,
                idempotency_key,
            ),
        )
        client = self._take_client(gateway)
        call = Call(caller, call_id, prompt, model, idempotency_key)
        completion = send_call(client, call, self.now)
        self.history.add(completion)
        if completion.failure or caller.kind is CallKind.STREAM:
            client.close()
        else:
            self.idle_by_gateway[gateway].append(client)

    def _pick_gateway(self, random: Random) -> str:
        gateways = self.plan.gateways
        weights = self.plan.weights or tuple(1 for _ in gateways)
        ready = [
            (gateway, weight)
            for gateway, weight in zip(gateways, weights, strict=True)
            if gateway not in self.unready_gateways
        ]
        if not ready:
            return random.choices(gateways, weights)[0]
        names, ready_weights = zip(*ready, strict=True)
        chosen: str = random.choices(names, ready_weights)[0]
        return chosen

    def _probe_readiness(self, gateway: str) -> None:
        client = open_client(gateway, PROBE_TIMEOUT)
        while True:
            if is_ready(client):
                self.unready_gateways.discard(gateway)
            else:
                self.unready_gateways.add(gateway)
            gevent.sleep(PROBE_INTERVAL_SECONDS)

    def _take_client(self, gateway: str) -> HTTPClient:
        idle = self.idle_by_gateway.setdefault(gateway, [])
        if idle:
            return idle.pop()
        return open_client(gateway, self.plan.timeout)
