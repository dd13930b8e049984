"""A small fleet of processes on loopback addresses."""

import subprocess
import sys
from collections.abc import Callable, Container, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from itertools import chain
from pathlib import Path
from typing import Any

import msgspec

from verbenamux_harness import declaring
from verbenamux_harness.layout import Layout
from verbenamux_harness.processes import (
    Process,
    ProcessEndedError,
    program,
)
from verbenamux_harness.shapes import FleetShape
from verbenamux_harness.web import (
    ConditionTimeoutError,
    Response,
    call,
    wait_until,
)

COMMAND_TIMEOUT_SECONDS = 60


@dataclass(slots=True)
class Fleet(Layout):
    """A fleet's processes, started and stopped by name.

    `mutants` maps a process name to the mechanism disabled in it.
    """

    mutants: dict[str, str] = field(default_factory=dict)
    process_by_name: dict[str, Process] = field(default_factory=dict)
    version: int = 0

    def start(self) -> None:
        """Start everything, apply the configuration, wait until ready."""
        self.launch()
        self.wait_ready()

    def launch(self, *, without: Container[str] = ()) -> None:
        """Start all but some targets, and apply the configuration to all."""
        self.assign_addresses()
        self._start_platform()
        for name in [*self.engines, *self.services]:
            if name not in without:
                self.start_target(name)
                self.start_agent(name)
        for name in self.gateways:
            self.start_gateway(name)
        self.configure()

    def start_gateway(self, name: str) -> None:
        """Start or restart a gateway."""
        settings = declaring.gateway_settings(self, name)
        self._start_process(name, 'verbenamux-gateway', [], settings)

    def start_agent(self, target: str) -> None:
        """Start or restart the agent of a target."""
        settings = declaring.agent_settings(self, target)
        self._start_process(f'agent-{target}', 'verbenamux-agent', [], settings)

    def start_target(self, name: str) -> None:
        """Start or restart a target's stand-in."""
        kind = 'engine' if name in self.engines else 'service'
        settings = declaring.target_settings(self, name)
        self._start_process(name, 'verbenamux-standin', [kind], settings)

    def configure(self) -> None:
        """Apply the shape's configuration as one patch."""
        for workspace in self.shape.workspaces:
            self.key_by_workspace[workspace.name] = f'vk-{workspace.name}'
        self.patch(declaring.operations(self))

    def patch(self, changes: list[dict[str, Any]]) -> None:
        """Apply operations with the command line, based on the last version."""
        path = self.folder / f'patch-{self.version}.json'
        path.write_bytes(msgspec.json.encode(changes))
        self.ctl('patch', '--base', str(self.version), str(path))
        self.version += 1

    def ctl(self, *arguments: str) -> str:
        """Run the operator's command line and return what it prints."""
        return self.run_ctl(*arguments, check=True).stdout.decode()

    def run_ctl(
        self,
        *arguments: str,
        check: bool = False,
    ) -> subprocess.CompletedProcess[bytes]:
        """Run the operator's command line; it may fail."""
        return subprocess.run(
            [program('verbenamuxctl'), *arguments],
            env={'VERBENAMUX_LOG': self.address_by_name['log']},
            capture_output=True,
            check=check,
            timeout=COMMAND_TIMEOUT_SECONDS,
        )

    def wait_ready(self) -> None:
        """Wait until every gateway can reach every model and service.

        Errors:
            ConditionTimeoutError: a gateway is not ready in time; the message
                lists what is missing.
            ProcessEndedError: a process of the fleet ended meanwhile.

        """
        for name in self.gateways:
            try:
                wait_until(self._is_ready(name), f'{name} to be ready')
            except ConditionTimeoutError as error:
                missing = '; '.join(self._unmet_conditions(name))
                raise ConditionTimeoutError(f'{error}: {missing}') from error

    def status(self, gateway: str) -> dict[str, Any]:
        """Return the status that a gateway reports."""
        status: dict[str, Any] = call(
            'GET', f'{self.url(gateway)}/readyz?verbose'
        ).json()
        return status

    def set_faults(self, name: str, **switches: Any) -> None:
        """Set a stand-in's fault switches; those not given are reset."""
        body = msgspec.json.encode(switches)
        call('PUT', f'{self.url(name)}/faults', body)

    def cut_lines(self, *lines: str, delay_ms: int = 0) -> None:
        """Cut a gateway's line to the log or a target's line to gateways."""
        body = msgspec.json.encode({'lines': lines, 'delay_ms': delay_ms})
        call('PUT', f'{self.url("relay")}/cuts', body)

    def history(self, name: str) -> list[dict[str, Any]]:
        """Return the history of a target's stand-in."""
        body = call('GET', f'{self.url(name)}/history').body
        return [msgspec.json.decode(line) for line in body.splitlines()]

    def chat(
        self,
        gateway: str,
        workspace: str,
        prompt: str,
        headers: dict[str, str] | None = None,
        **fields: Any,
    ) -> Response:
        """Send one chat request and return its whole answer."""
        body = {
            'model': self.shape.models[0].name,
            'messages': [{'role': 'user', 'content': prompt}],
            'max_tokens': 8,
        }
        request_headers = {
            'Authorization': f'Bearer {self.key_by_workspace[workspace]}',
            'Content-Type': 'application/json',
        }
        return call(
            'POST',
            f'{self.url(gateway)}/v1/chat/completions',
            msgspec.json.encode(body | fields),
            request_headers | (headers or {}),
            seconds=COMMAND_TIMEOUT_SECONDS,
        )

    def stop(self) -> dict[str, int | None]:
        """Stop everything; return the exit codes by name."""
        exit_codes = {}
        order = [*self.gateways, *reversed(list(self.process_by_name))]
        for name in order:
            process = self.process_by_name.pop(name, None)
            if process is not None:
                exit_codes[name] = process.stop()
        return exit_codes

    def _is_ready(self, gateway: str) -> Callable[[], bool]:
        def ready() -> bool:
            self._raise_if_ended()
            return not any(self._unmet_conditions(gateway))

        return ready

    def _unmet_conditions(self, gateway: str) -> Iterator[str]:
        """Yield the conditions that a gateway does not meet yet."""
        try:
            status = self.status(gateway)
        except OSError as error:
            yield f'no answer, {error}'
            return
        if not status['ready']:
            yield 'it reports that it is not ready'
        targets = status['targets']
        unresponsive = [
            name for name, row in targets.items() if not row['alive']
        ]
        if unresponsive:
            yield f'unresponsive targets {unresponsive}'
        peers = self.shape.gateways - 1
        if len(status['peers']) != peers:
            yield f'{len(status["peers"])} of {peers} peers'
        loaded_models = chain.from_iterable(
            row['models'] for row in targets.values()
        )
        models = {model.name for model in self.shape.models}
        unloaded_models = sorted(models.difference(loaded_models))
        if unloaded_models:
            yield f'models not loaded anywhere {unloaded_models}'

    def _raise_if_ended(self) -> None:
        for name, process in self.process_by_name.items():
            if not process.running:
                raise ProcessEndedError(f'{name} ended: {process.last_line()}')

    def _start_platform(self) -> None:
        self._start_process(
            'log', 'verbenamux-standin', ['log'], declaring.log_settings(self)
        )
        if self.shape.relayed:
            self._start_process(
                'relay',
                'verbenamux-standin',
                ['relay'],
                declaring.relay_settings(self),
            )
        self._start_process(
            'store',
            'verbenamux-standin',
            ['store'],
            {
                'address': self.address_by_name['store'],
                'pace': self.shape.store,
            },
        )
        self._start_process(
            'hosts',
            'verbenamux-standin',
            ['hosts'],
            declaring.hosts_settings(self),
        )
        for name in ('log', 'store', 'hosts'):
            wait_until(self._listens(name), f'{name} to listen')

    def _listens(self, name: str) -> Callable[[], bool]:
        def listens() -> bool:
            self._raise_if_ended()
            return call('GET', f'{self.url(name)}/faults').status > 0

        return listens

    def _start_process(
        self,
        name: str,
        console_script: str,
        arguments: list[str],
        settings: dict[str, Any],
    ) -> None:
        path = self.folder / f'{name}.json'
        path.write_bytes(msgspec.json.encode(settings))
        program_command = [program(console_script)]
        mutant = self.mutants.get(name)
        if mutant is not None:
            module = 'verbenamux_harness.mutant'
            program_command = [
                sys.executable,
                '-m',
                module,
                mutant,
                console_script,
            ]
        command = [*program_command, *arguments, '--settings', str(path)]
        process = Process(name, command, self.folder / f'{name}.log')
        self.process_by_name[name] = process
        process.start()


@contextmanager
def running(
    shape: FleetShape,
    folder: Path,
    mutants: dict[str, str] | None = None,
) -> Iterator[Fleet]:
    """Run a fleet for the duration of a block and always stop it."""
    fleet = Fleet(shape, folder, mutants=mutants or {})
    try:
        fleet.start()
        yield fleet
    finally:
        fleet.stop()
