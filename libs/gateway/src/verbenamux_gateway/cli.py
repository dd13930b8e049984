"""The command line of the gateway."""

from verbenamux_contracts.clock import SystemClock
from verbenamux_contracts.ids import new_instance_id
from verbenamux_gateway.build import build_gateway
from verbenamux_gateway.running import run_gateway
from verbenamux_gateway.settings import GatewaySettings
from verbenamux_runtime.logs import DecisionLog, configure_logs
from verbenamux_runtime.program import daemon_app


def serve(settings: GatewaySettings) -> None:
    """Build a gateway and run it until SIGTERM."""
    configure_logs()
    clock = SystemClock()
    instance = new_instance_id(settings.name)
    log = DecisionLog('gateway', instance, clock)
    run_gateway(build_gateway(settings, instance, clock, log))


app = daemon_app(
    'verbenamux-gateway',
    'The entry point: answers callers over HTTP.',
    GatewaySettings,
    serve,
)


def main() -> None:
    """Run the console script."""
    app()
