"""Compare the relay's QUIC side with a plain Twisted UDP forwarder of the same datagrams, in one run.

    python benchmarks/quic_path.py [--json] [--seconds S] [--flows N]

Both run as separate processes pinned to the same core; this process generates the load on another core. The two take
turns, round by round, so that a drift of the machine's speed affects both alike. Figures are medians of the rounds.

The forwarder is the simplest one that does the work: one listening port, one connected port per client, no other state.
"""

from __future__ import annotations

import argparse
import json
import os
import resource
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from scaledeal.lab.discovery import Discovery
from scaledeal.lab.loop import Loop
from scaledeal.lab.relay import RelayProcess
from scaledeal.quic.ids import key_file
from scaledeal.quic.ids.keys import KeyRing, new_ring
from scaledeal.quic.ids.servers import server_id
from scaledeal.quic.wire import frames, packet
from scaledeal.quic.wire.packet import V1
from scaledeal.quic.wire.protection import InitialKeys, encode_initial

FORWARDER = """
import sys
from twisted.internet import reactor
from twisted.internet.protocol import DatagramProtocol

class Back(DatagramProtocol):
    noisy = False
    def __init__(self, front, source): self.front, self.source = front, source
    def startProtocol(self): self.transport.connect("127.0.0.1", int(sys.argv[1]))
    def datagramReceived(self, data, addr): self.front.transport.write(data, self.source)

class Front(DatagramProtocol):
    noisy = False
    def __init__(self): self.backs = {}
    def datagramReceived(self, data, addr):
        back = self.backs.get(addr)
        if back is None:
            back = self.backs[addr] = Back(self, addr)
            reactor.listenUDP(0, back, interface="127.0.0.1")
        back.transport.write(data)

front = Front()
port = reactor.listenUDP(0, front, interface="127.0.0.1")
port.socket.setsockopt(1, 8, 4 << 20)
print(port.getHost().port, flush=True)
reactor.run()
"""
DATAGRAM_BYTES = 1200
MAX_DATAGRAMS_IN_FLIGHT = 64
ROUND_S = 0.5
RULES = 'rule "all" {\n  class = "browse"\n  key_from = "id"\n}\n'


class Target:
    """A process under load, pinned to the last core."""

    def __init__(self, name: str, process: subprocess.Popen[Any], port: int) -> None:
        self.name, self.process, self.address = name, process, ("127.0.0.1", port)
        os.sched_setaffinity(process.pid, {sorted(os.sched_getaffinity(0))[-1]})

    def cpu_seconds(self) -> float:
        """Return the CPU time used so far, in seconds."""
        return int(Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[0]) / 1e9

    def resident_bytes(self) -> int:
        """Return the resident memory in bytes."""
        return int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


class Peers:
    """A tile server's socket and the clients' sockets, driven in this thread."""

    def __init__(self, ring: KeyRing, name: str) -> None:
        self.codec = ring.codecs()[ring.active.number]
        self.sid = server_id(name, self.codec.config.server_id_length)
        self.server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
        self.server.bind(("127.0.0.1", 0))
        self.server.settimeout(5)
        self.address = f"127.0.0.1:{self.server.getsockname()[1]}"
        # The same server's port for line connections
        self.line_listener = socket.create_server(self.server.getsockname(), backlog=64)
        self.client_hello = _client_hello_message()
        self.port = 0

    def client(self) -> socket.socket:
        """Return a new client's socket, bound to a port of its own."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        # Below the ephemeral ports, which the relay and the forwarder need for their own sockets.
        while True:
            self.port = 10_000 + (self.port + 1) % 20_000
            try:
                sock.bind(("127.0.0.2", self.port))
                break
            except OSError:
                continue
        sock.settimeout(5)
        return sock

    def initial_datagram(self, dcid: bytes) -> bytes:
        """Return a client's padded Initial with a complete ClientHello."""
        keys = InitialKeys(V1, dcid)
        payload = frames.encode_crypto(0, self.client_hello)
        padding = 1200 - len(encode_initial(keys.client, V1, dcid, b"client00", 0, payload))
        return encode_initial(keys.client, V1, dcid, b"client00", 0, payload.ljust(len(payload) + padding, b"\0"))

    def set_up_flow(self, target: Target, sock: socket.socket, dcid: bytes, validate_path: bool = True) -> bytes:
        """Set up a flow through the relay; return the connection id that the server issued.

        With `validate_path`, also send a datagram to that id, by which the relay takes the client's path as validated.
        """
        sock.sendto(self.initial_datagram(dcid), target.address)
        datagram, source = self.server.recvfrom(65_536)
        cid = self.codec.new(self.sid)
        parsed = packet.parse_long_packet(datagram)
        self.server.sendto(
            encode_initial(
                InitialKeys(V1, parsed.dcid).server, V1, parsed.scid, cid, 0, frames.encode_crypto(0, b"\2")
            ),
            source,
        )
        sock.recv(65_536)
        if validate_path:
            # A datagram with the server's id validates the path.
            sock.sendto(_short(cid, 100), target.address)
            self.server.recvfrom(65_536)
        return cid

    def set_up_line(self, port: int, number: int) -> tuple[socket.socket, socket.socket]:
        """Set up a line connection through the relay; return the client's and the server's socket."""
        sock = socket.create_connection(("127.0.0.1", port))
        sock.sendall(b"OPEN l%d k%d c=browse,d=3000\r\n" % (number, number))
        server_end = self.line_listener.accept()[0]
        server_end.recv(4096)
        server_end.sendall(b"UP R\r\n")
        sock.recv(4096)
        return sock, server_end

    def pump(self, target: Target, flows: list[tuple[socket.socket, bytes]], seconds: float) -> tuple[int, float]:
        """Send to the server for `seconds`, with a bounded number in flight.

        Return the number of datagrams received and the CPU time (s) that the target used for them.
        """
        datagrams = [_short(cid, DATAGRAM_BYTES) for _, cid in flows]
        began, count, in_flight, index = target.cpu_seconds(), 0, 0, 0
        end = time.perf_counter() + seconds
        while time.perf_counter() < end:
            while in_flight < MAX_DATAGRAMS_IN_FLIGHT:
                flows[index][0].sendto(datagrams[index], target.address)
                index = (index + 1) % len(flows)
                in_flight += 1
            self.server.recv(65_536)
            in_flight -= 1
            count += 1
        for _ in range(in_flight):
            self.server.recv(65_536)
        return count + in_flight, target.cpu_seconds() - began

    def round_trips(self, target: Target, flow: tuple[socket.socket, bytes], count: int) -> HdrHistogram:
        """Return the round-trip times (ns) of `count` datagrams from a client to the server and back, one at a time."""
        times = HdrHistogram(1, 10**9, 3)
        datagram = _short(flow[1], DATAGRAM_BYTES)
        for _ in range(count):
            began = time.perf_counter_ns()
            flow[0].sendto(datagram, target.address)
            _, source = self.server.recvfrom(65_536)
            self.server.sendto(datagram, source)
            flow[0].recv(65_536)
            times.record_value(time.perf_counter_ns() - began)
        return times


def _short(cid: bytes, size: int) -> bytes:
    """Return a short-header datagram of `size` bytes; its payload is a filler."""
    return (b"\x40" + cid).ljust(size, b"\x55")


def _client_hello_message() -> bytes:
    """Return the ClientHello that aioquic sends."""
    from aioquic.quic.configuration import QuicConfiguration
    from aioquic.quic.connection import QuicConnection

    peer = QuicConnection(
        configuration=QuicConfiguration(is_client=True, alpn_protocols=["tiles"], server_name="maps.example")
    )
    peer.connect(("127.0.0.1", 1), now=0.0)
    datagram = peer.datagrams_to_send(now=0.0)[0][0]
    parsed = packet.parse_long_packet(datagram)
    return frames.parse_initial_payload(InitialKeys(V1, parsed.dcid).client.open(datagram, parsed)[1]).crypto[0].data


class Bench:
    """The relay, the forwarder and their peers."""

    def __init__(self, folder: Path, max_flows: int) -> None:
        self.loop = Loop()
        ring = new_ring()
        key_file.write(folder / "keys", ring)
        (folder / "file.hcl").write_text(
            f'quic {{\n  listen = "127.0.0.1:0"\n  keys = "{folder / "keys"}"\n  idle = "10m"\n'
            f"  retry_above = 1000000\n  max_flows = {max_flows + 100}\n  max_paths = {max_flows + 200}\n{RULES}}}\n"
        )
        self.peers = Peers(ring, "s-0")
        discovery = Discovery(self.loop)
        discovery.put("s-0", self.peers.address)
        self.process = RelayProcess(
            self.loop, folder, discovery.address, folder / "file.hcl", descriptors=max_flows + 3000
        )
        self.relay = Target("relay", self.process.process, self.process.quic_port)
        self.loop.run_until(lambda: self.process.metric("relay_registry_entries") == 1)
        port = self.peers.address.rpartition(":")[2]
        forwarder = subprocess.Popen([sys.executable, "-c", FORWARDER, port], stdout=subprocess.PIPE, text=True)
        assert forwarder.stdout is not None
        self.forwarder = Target("forwarder", forwarder, int(forwarder.stdout.readline()))
        self.connections_made = 0
        self.idle_bytes = self.relay.resident_bytes()

    def flows(self, target: Target, count: int, validate_path: bool = True) -> list[tuple[socket.socket, bytes]]:
        """Set up `count` flows, each as (client socket, connection id).

        For the forwarder a flow is one datagram from a client of its own.
        """
        made = []
        for _ in range(count):
            self.connections_made += 1
            sock = self.peers.client()
            if target is self.relay:
                made.append(
                    (
                        sock,
                        self.peers.set_up_flow(target, sock, self.connections_made.to_bytes(8, "big"), validate_path),
                    )
                )
            else:
                cid = self.peers.codec.new(self.peers.sid)
                sock.sendto(_short(cid, 100), target.address)
                self.peers.server.recv(65_536)
                made.append((sock, cid))
            if self.connections_made % 50 == 0:
                self.loop.run_once(0)
        return made

    def set_up_costs(self, count: int) -> dict[str, float]:
        """Return the relay's CPU time (us) per set-up, and that of its cryptography alone, measured in this process."""
        line_us, flow_us = self._line_set_up_cpu_us(count), self._flow_set_up_cpu_us(count)
        line_us, flow_us = min(line_us, self._line_set_up_cpu_us(count)), min(flow_us, self._flow_set_up_cpu_us(count))
        sample = self.peers.initial_datagram(b"measured")
        began = time.process_time()
        for _ in range(200):
            keys = InitialKeys(V1, b"measured")
            keys.client.open(sample, packet.parse_long_packet(sample))
            keys.server.seal(b"\xc3" + bytes(30), 0, bytes(100))
        crypto_us = (time.process_time() - began) / 200 * 1e6
        return {
            "cpu_us_a_line_set_up": line_us,
            "cpu_us_a_flow_set_up": flow_us,
            "of_it_crypto_us": crypto_us,
            "ratio_to_lines_crypto_aside": line_us / (flow_us - crypto_us),
        }

    def _flow_set_up_cpu_us(self, count: int) -> float:
        """Return the relay's CPU time (us) per flow set-up."""
        before = self.relay.cpu_seconds()
        made = self.flows(self.relay, count, False)
        used_us = (self.relay.cpu_seconds() - before) / count * 1e6
        for sock, _ in made:
            sock.close()
        return used_us

    def _line_set_up_cpu_us(self, count: int) -> float:
        """Return the relay's CPU time (us) per set-up of a line connection; closing them is not counted."""
        port = int(self.process.wait_for_log_line("listens on").partition("127.0.0.1:")[2].partition(",")[0])
        before, ends = self.relay.cpu_seconds(), []
        for number in range(count):
            self.connections_made += 1
            ends.append(self.set_up_line(port, number))
        used_us = (self.relay.cpu_seconds() - before) / count * 1e6
        for pair in ends:
            for sock in pair:
                sock.close()
        return used_us

    def set_up_line(self, port: int, number: int) -> tuple[socket.socket, socket.socket]:
        """Set up one line connection; run the loop once in 50 calls, which serves the relay's discovery requests."""
        if number % 50 == 0:
            self.loop.run_once(0)
        return self.peers.set_up_line(port, self.connections_made)

    def throughput(self, seconds: float, flows: int) -> dict[str, float]:
        """Return datagrams per second and CPU time (us) per datagram of relay and forwarder, measured in turns."""
        flow_sets = {target.name: (target, self.flows(target, flows)) for target in (self.relay, self.forwarder)}
        rates: dict[str, list[float]] = {name: [] for name in flow_sets}
        cpus: dict[str, list[float]] = {name: [] for name in flow_sets}
        for _ in range(max(3, int(seconds / ROUND_S / 2))):
            for name, (target, made) in flow_sets.items():
                count, cpu = self.peers.pump(target, made, ROUND_S)
                rates[name].append(count / ROUND_S)
                cpus[name].append(cpu / count * 1e6)
        out = {f"{name}_datagrams_a_second": statistics.median(samples) for name, samples in rates.items()}
        out |= {f"{name}_cpu_us_a_datagram": statistics.median(samples) for name, samples in cpus.items()}
        pairs = zip(rates["relay"], rates["forwarder"], strict=True)
        out["ratio_to_forwarder"] = statistics.median(relay / forwarder for relay, forwarder in pairs)
        pairs = zip(cpus["forwarder"], cpus["relay"], strict=True)
        out["ratio_of_cpu"] = statistics.median(forwarder / relay for forwarder, relay in pairs)
        return out

    def added_latency(self, count: int) -> dict[str, float]:
        """Return p50 and p99 (us) of the round trip through both, and what the relay adds to the forwarder's."""
        out: dict[str, float] = {}
        for target in (self.forwarder, self.relay):
            times = self.peers.round_trips(target, self.flows(target, 1)[0], count)
            for percentile in (50, 99):
                out[f"{target.name}_p{percentile}_us"] = times.get_value_at_percentile(percentile) / 1000
        return out | {
            f"added_p{percentile}_us": out[f"relay_p{percentile}_us"] - out[f"forwarder_p{percentile}_us"]
            for percentile in (50, 99)
        }

    def growth(self, sizes: list[int], seconds: float) -> list[dict[str, float]]:
        """Return CPU cost and memory for each number of flows, through relay and forwarder."""
        relay_rows, forwarder_rows = (
            [self.cost_with_flows(target, size, seconds) for size in sizes] for target in (self.relay, self.forwarder)
        )
        return [
            {"flows": size, **relay_row, "forwarder_cpu_us_a_datagram": forwarder_row["cpu_us_a_datagram"]}
            for size, relay_row, forwarder_row in zip(sizes, relay_rows, forwarder_rows, strict=True)
        ]

    def cost_with_flows(self, target: Target, size: int, seconds: float) -> dict[str, float]:
        """Return datagrams per second, CPU time (us) per datagram and bytes per flow with `size` flows."""
        made, memory = self.flows(target, size), target.resident_bytes()
        count, cpu = self.peers.pump(target, made[:: max(1, size // 512)], seconds)
        for sock, _ in made:
            sock.close()
        return {
            "datagrams_a_second": count / seconds,
            "cpu_us_a_datagram": cpu / count * 1e6,
            "bytes_a_flow": (memory - self.idle_bytes) / self.connections_made,
        }

    def unknown_ids(self, seconds: float) -> dict[str, float]:
        """Return how many datagrams with unknown ids are dropped per second, and the CPU time (us) of each.

        Waits until the number of flows is as before, as such datagrams must not create any.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(("127.0.0.4", 0))  # an address without a flow, as the relay would route its datagrams by address
        before = self.process.metric("relay_quic_flows")
        datagram = _short(b"\x30" + os.urandom(16), 100)
        metric = 'relay_quic_dropped_total{why="id of no flow"}'
        began, cpu, dropped = time.perf_counter(), self.relay.cpu_seconds(), self.process.metric(metric)
        while time.perf_counter() - began < seconds:
            for _ in range(64):
                sock.sendto(datagram, self.relay.address)
        self.loop.run_until(lambda: self.process.metric("relay_quic_flows") == before)
        took, count = time.perf_counter() - began, self.process.metric(metric) - dropped
        return {"dropped_a_second": count / took, "cpu_us": (self.relay.cpu_seconds() - cpu) / max(1, count) * 1e6}

    def close(self) -> None:
        """Kill relay and forwarder."""
        self.process.kill()
        self.forwarder.process.kill()
        self.loop.close()


def aioquic_throughput(seconds: float) -> dict[str, float]:
    """Return the datagrams per second that aioquic handles with both ends on one core.

    Terminating QUIC in the relay would cost about half of this CPU time, that of one end.
    """
    from scaledeal.lab.quic.checker import TrafficRecord
    from scaledeal.lab.quic.client import Client
    from scaledeal.lab.quic.tile_server import TileServer

    loop, record = Loop(), TrafficRecord()
    server = TileServer(loop, "s-0", new_ring(), record)
    host, _, port = server.address.rpartition(":")
    client = Client(loop, (host, int(port)), record).wait_connected()
    began, count = time.process_time(), 0
    while time.process_time() - began < seconds:
        client.request()
        count += 2
    loop.close()
    return {"datagrams_a_second": count / (time.process_time() - began)}


def main() -> None:
    """Run all measurements and print the figures."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--flows", type=int, default=10_000)
    arguments = parser.parse_args()
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    os.sched_setaffinity(0, set(sorted(os.sched_getaffinity(0))[:-1]))
    with tempfile.TemporaryDirectory() as folder:
        bench = Bench(Path(folder), arguments.flows + 4000)
        try:
            figures: dict[str, Any] = {
                "growth": bench.growth([size for size in (100, 1000, 10_000) if size <= arguments.flows], 1.0),
                "placing": bench.set_up_costs(500),
                "throughput": bench.throughput(arguments.seconds, 32),
                "latency": bench.added_latency(3000),
                "unknown_ids": bench.unknown_ids(1.0),
                "ending_quic_instead": aioquic_throughput(1.0),
            }
        finally:
            bench.close()
    if not arguments.json:
        for name, result in figures.items():
            for row in result if isinstance(result, list) else [result]:
                print(f"{name:20}", "  ".join(f"{key} {value:,.2f}" for key, value in row.items()))
    print(json.dumps(figures, sort_keys=True))


if __name__ == "__main__":
    main()
