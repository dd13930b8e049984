"""The processes of a fleet and their addresses."""

from dataclasses import dataclass, field
from pathlib import Path

from verbenamux_harness.processes import free_addresses
from verbenamux_harness.shapes import FleetShape


@dataclass(slots=True)
class Layout:
    """Names, addresses and keys of a fleet."""

    shape: FleetShape
    folder: Path
    address_by_name: dict[str, str] = field(default_factory=dict)
    key_by_workspace: dict[str, str] = field(default_factory=dict)

    @property
    def engines(self) -> list[str]:
        """Names of the engines."""
        return [f'engine-{number}' for number in range(self.shape.engines)]

    @property
    def services(self) -> list[str]:
        """Names of the plain services' targets."""
        return [f'{name}-0' for name in self.shape.services]

    @property
    def gateways(self) -> list[str]:
        """Names of the gateways."""
        return [f'gateway-{number}' for number in range(self.shape.gateways)]

    def url(self, name: str) -> str:
        """Return the base URL of a process."""
        return f'http://{self.address_by_name[name]}'

    def assign_addresses(self) -> None:
        """Assign every process a loopback address with a free port."""
        targets = [*self.engines, *self.services]
        names = [
            'relay',
            'log',
            'store',
            'hosts',
            *targets,
            *(f'agent-{target}' for target in targets),
            *self.gateways,
            *(f'peer-{gateway}' for gateway in self.gateways),
            *(f'line-{target}' for target in targets),
            *(f'line-{gateway}' for gateway in self.gateways),
            *(f'line-peer-{gateway}' for gateway in self.gateways),
        ]
        addresses = free_addresses(len(names))
        self.address_by_name.update(zip(names, addresses, strict=True))
