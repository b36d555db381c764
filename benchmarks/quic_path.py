"""Datagrams through the QUIC side beside a bare Twisted UDP forwarder of the same bytes, in one run.

    python benchmarks/quic_path.py [--json] [--seconds S] [--flows N]

Both run as processes of their own, pinned to one core; the load comes from this one, on another core. The two take
turns, round by round, so that a drift of the machine's speed meets both alike. Figures are medians of the rounds.

The forwarder is the simplest that does the work: one listening port, one connected port a client, no state else.
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
SIZE = 1200  # bytes of a datagram
WINDOW = 64  # datagrams under way
ROUND = 0.5  # seconds of a round
RULES = 'rule "all" {\n  class = "browse"\n  key_from = "id"\n}\n'


class Target:
    """A process under load, and its CPU time."""

    def __init__(self, name: str, process: subprocess.Popen[Any], port: int) -> None:
        self.name, self.process, self.address = name, process, ("127.0.0.1", port)
        os.sched_setaffinity(process.pid, {sorted(os.sched_getaffinity(0))[-1]})

    def cpu(self) -> float:
        """Return the CPU seconds used."""
        return int(Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[0]) / 1e9

    def memory(self) -> int:
        """Return the resident bytes."""
        return int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


class Peers:
    """A server that echoes, and clients' sockets; all here, in one thread."""

    def __init__(self, ring: KeyRing, name: str) -> None:
        self.codec = ring.codecs()[ring.active.number]
        self.sid = server_id(name, self.codec.config.server_id_length)
        self.server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
        self.server.bind(("127.0.0.1", 0))
        self.server.settimeout(5)
        self.address = f"127.0.0.1:{self.server.getsockname()[1]}"
        self.lines = socket.create_server(self.server.getsockname(), backlog=64)  # the same server, for lines
        self.hello = _hello()
        self.port = 0

    def client(self) -> socket.socket:
        """Return a client's socket."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        # Below the ephemeral ports, which the two under load need for themselves.
        while True:
            self.port = 10_000 + (self.port + 1) % 20_000
            try:
                sock.bind(("127.0.0.2", self.port))
                break
            except OSError:
                continue
        sock.settimeout(5)
        return sock

    def first(self, dcid: bytes) -> bytes:
        """Return a client's Initial with its whole ClientHello."""
        keys = InitialKeys(V1, dcid)
        payload = frames.encode_crypto(0, self.hello)
        pad = 1200 - len(encode_initial(keys.client, V1, dcid, b"client00", 0, payload))
        return encode_initial(keys.client, V1, dcid, b"client00", 0, payload.ljust(len(payload) + pad, b"\0"))

    def set_up(self, target: Target, sock: socket.socket, dcid: bytes, prove: bool = True) -> bytes:
        """Bring a flow up through the relay, and return the id to use on it; prove its path, unless told not to."""
        sock.sendto(self.first(dcid), target.address)
        datagram, source = self.server.recvfrom(65_536)
        cid = self.codec.new(self.sid)
        at = packet.parse_long_packet(datagram)
        self.server.sendto(
            encode_initial(InitialKeys(V1, at.dcid).server, V1, at.scid, cid, 0, frames.encode_crypto(0, b"\2")), source
        )
        sock.recv(65_536)
        if prove:
            # A word with the server's id: from here on the path is proven.
            sock.sendto(_short(cid, 100), target.address)
            self.server.recvfrom(65_536)
        return cid

    def set_up_line(self, port: int, number: int) -> tuple[socket.socket, socket.socket]:
        """Bring a line connection up through the relay; return both ends."""
        sock = socket.create_connection(("127.0.0.1", port))
        sock.sendall(b"OPEN l%d k%d c=browse,d=3000\r\n" % (number, number))
        other = self.lines.accept()[0]
        other.recv(4096)
        other.sendall(b"UP R\r\n")
        sock.recv(4096)
        return sock, other

    def pump(self, target: Target, flows: list[tuple[socket.socket, bytes]], seconds: float) -> tuple[int, float]:
        """Send to the server for so long with a window; return datagrams that came and the CPU they took."""
        datagrams = [_short(cid, SIZE) for _, cid in flows]
        began, count, out, at = target.cpu(), 0, 0, 0
        end = time.perf_counter() + seconds
        while time.perf_counter() < end:
            while out < WINDOW:
                flows[at][0].sendto(datagrams[at], target.address)
                at = (at + 1) % len(flows)
                out += 1
            self.server.recv(65_536)
            out -= 1
            count += 1
        for _ in range(out):
            self.server.recv(65_536)
        return count + out, target.cpu() - began

    def latency(self, target: Target, flow: tuple[socket.socket, bytes], count: int) -> HdrHistogram:
        """Return the times (ns) from a client to the server and back, one at a time."""
        times = HdrHistogram(1, 10**9, 3)
        datagram = _short(flow[1], SIZE)
        for _ in range(count):
            began = time.perf_counter_ns()
            flow[0].sendto(datagram, target.address)
            _, source = self.server.recvfrom(65_536)
            self.server.sendto(datagram, source)
            flow[0].recv(65_536)
            times.record_value(time.perf_counter_ns() - began)
        return times


def _short(cid: bytes, size: int) -> bytes:
    return (b"\x40" + cid).ljust(size, b"\x55")


def _hello() -> bytes:
    from aioquic.quic.configuration import QuicConfiguration
    from aioquic.quic.connection import QuicConnection

    peer = QuicConnection(
        configuration=QuicConfiguration(is_client=True, alpn_protocols=["tiles"], server_name="maps.example")
    )
    peer.connect(("127.0.0.1", 1), now=0.0)
    datagram = peer.datagrams_to_send(now=0.0)[0][0]
    at = packet.parse_long_packet(datagram)
    return frames.parse_initial_payload(InitialKeys(V1, at.dcid).client.open(datagram, at)[1]).crypto[0].data


class Bench:
    """Both processes and their peers."""

    def __init__(self, folder: Path, most: int) -> None:
        self.loop = Loop()
        ring = new_ring()
        key_file.write(folder / "keys", ring)
        (folder / "file.hcl").write_text(
            f'quic {{\n  listen = "127.0.0.1:0"\n  keys = "{folder / "keys"}"\n  idle = "10m"\n'
            f"  retry_above = 1000000\n  max_flows = {most + 100}\n  max_paths = {most + 200}\n{RULES}}}\n"
        )
        self.peers = Peers(ring, "s-0")
        discovery = Discovery(self.loop)
        discovery.put("s-0", self.peers.address)
        self.process = RelayProcess(self.loop, folder, discovery.address, folder / "file.hcl", descriptors=most + 3000)
        self.relay = Target("relay", self.process.process, self.process.quic_port)
        self.loop.until(lambda: self.process.figure("relay_registry_entries") == 1)
        port = self.peers.address.rpartition(":")[2]
        bare = subprocess.Popen([sys.executable, "-c", FORWARDER, port], stdout=subprocess.PIPE, text=True)
        assert bare.stdout is not None
        self.bare = Target("forwarder", bare, int(bare.stdout.readline()))
        self.made = 0
        self.empty = self.relay.memory()

    def flows(self, target: Target, count: int, prove: bool = True) -> list[tuple[socket.socket, bytes]]:
        """Bring up so many flows; the forwarder's are datagrams from as many clients."""
        made = []
        for _ in range(count):
            self.made += 1
            sock = self.peers.client()
            if target is self.relay:
                made.append((sock, self.peers.set_up(target, sock, self.made.to_bytes(8, "big"), prove)))
            else:
                cid = self.peers.codec.new(self.peers.sid)
                sock.sendto(_short(cid, 100), target.address)
                self.peers.server.recv(65_536)
                made.append((sock, cid))
            if self.made % 50 == 0:
                self.loop.turn(0)
        return made

    def placing(self, count: int) -> dict[str, float]:
        """Return CPU a set-up, and the part of it that crypto alone takes, measured here."""
        line, flow = self._line_set_ups(count), self._flow_set_ups(count)
        line, flow = min(line, self._line_set_ups(count)), min(flow, self._flow_set_ups(count))
        sample = self.peers.first(b"measured")
        began = time.process_time()
        for _ in range(200):
            keys = InitialKeys(V1, b"measured")
            keys.client.open(sample, packet.parse_long_packet(sample))
            keys.server.seal(b"\xc3" + bytes(30), 0, bytes(100))
        crypto = (time.process_time() - began) / 200 * 1e6
        return {
            "cpu_us_a_line_set_up": line,
            "cpu_us_a_flow_set_up": flow,
            "of_it_crypto_us": crypto,
            "ratio_to_lines_crypto_aside": line / (flow - crypto),
        }

    def _flow_set_ups(self, count: int) -> float:
        before = self.relay.cpu()
        made = self.flows(self.relay, count, False)
        used = (self.relay.cpu() - before) / count * 1e6
        for sock, _ in made:
            sock.close()
        return used

    def _line_set_ups(self, count: int) -> float:
        """Return CPU (us) a set-up of a line connection; they are closed afterwards, which is not counted."""
        port = int(self.process.until_told("listens on").partition("127.0.0.1:")[2].partition(",")[0])
        before, ends = self.relay.cpu(), []
        for number in range(count):
            self.made += 1
            ends.append(self.set_up_line(port, number))
        used = (self.relay.cpu() - before) / count * 1e6
        for pair in ends:
            for sock in pair:
                sock.close()
        return used

    def set_up_line(self, port: int, number: int) -> tuple[socket.socket, socket.socket]:
        """Bring one line connection up."""
        if number % 50 == 0:
            self.loop.turn(0)
        return self.peers.set_up_line(port, self.made)

    def throughput(self, seconds: float, flows: int) -> dict[str, float]:
        """Return datagrams a second and CPU a datagram of both, in turns."""
        sets = {target.name: (target, self.flows(target, flows)) for target in (self.relay, self.bare)}
        rates: dict[str, list[float]] = {name: [] for name in sets}
        cpus: dict[str, list[float]] = {name: [] for name in sets}
        for _ in range(max(3, int(seconds / ROUND / 2))):
            for name, (target, made) in sets.items():
                count, cpu = self.peers.pump(target, made, ROUND)
                rates[name].append(count / ROUND)
                cpus[name].append(cpu / count * 1e6)
        out = {f"{name}_datagrams_a_second": statistics.median(each) for name, each in rates.items()}
        out |= {f"{name}_cpu_us_a_datagram": statistics.median(each) for name, each in cpus.items()}
        pairs = zip(rates["relay"], rates["forwarder"], strict=True)
        out["ratio_to_forwarder"] = statistics.median(mine / other for mine, other in pairs)
        pairs = zip(cpus["forwarder"], cpus["relay"], strict=True)
        out["ratio_of_cpu"] = statistics.median(other / mine for other, mine in pairs)
        return out

    def added_latency(self, count: int) -> dict[str, float]:
        """Return the round trip's p50 and p99 through both, in microseconds, and what the relay adds."""
        out: dict[str, float] = {}
        for target in (self.bare, self.relay):
            times = self.peers.latency(target, self.flows(target, 1)[0], count)
            for part in (50, 99):
                out[f"{target.name}_p{part}_us"] = times.get_value_at_percentile(part) / 1000
        return out | {f"added_p{part}_us": out[f"relay_p{part}_us"] - out[f"forwarder_p{part}_us"] for part in (50, 99)}

    def growth(self, sizes: list[int], seconds: float) -> list[dict[str, float]]:
        """Return cost and memory beside the number of flows, through both."""
        mine, other = ([self.grown(target, size, seconds) for size in sizes] for target in (self.relay, self.bare))
        return [
            {"flows": size, **one, "forwarder_cpu_us_a_datagram": two["cpu_us_a_datagram"]}
            for size, one, two in zip(sizes, mine, other, strict=True)
        ]

    def grown(self, target: Target, size: int, seconds: float) -> dict[str, float]:
        """Return the cost with so many flows."""
        made, before = self.flows(target, size), target.memory()
        count, cpu = self.peers.pump(target, made[:: max(1, size // 512)], seconds)
        for sock, _ in made:
            sock.close()
        return {
            "datagrams_a_second": count / seconds,
            "cpu_us_a_datagram": cpu / count * 1e6,
            "bytes_a_flow": (before - self.empty) / self.made,
        }

    def unknown(self, seconds: float) -> dict[str, float]:
        """Return how many datagrams with unknown ids are dropped a second, and that they leave nothing."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(("127.0.0.4", 0))  # an address that no flow has: by that its ids would be routed
        before = self.process.figure("relay_quic_flows")
        bad = _short(b"\x30" + os.urandom(16), 100)
        name = 'relay_quic_dropped_total{why="id of no flow"}'
        began, cpu, dropped = time.perf_counter(), self.relay.cpu(), self.process.figure(name)
        while time.perf_counter() - began < seconds:
            for _ in range(64):
                sock.sendto(bad, self.relay.address)
        self.loop.until(lambda: self.process.figure("relay_quic_flows") == before)
        took, count = time.perf_counter() - began, self.process.figure(name) - dropped
        return {"dropped_a_second": count / took, "cpu_us": (self.relay.cpu() - cpu) / max(1, count) * 1e6}

    def close(self) -> None:
        """End both."""
        self.process.kill()
        self.bare.process.kill()
        self.loop.close()


def stack(seconds: float) -> dict[str, float]:
    """Return how many datagrams a second aioquic alone handles, both ends on one core: ending QUIC here costs half."""
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
    """Measure and print."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--flows", type=int, default=10_000)
    told = parser.parse_args()
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    os.sched_setaffinity(0, set(sorted(os.sched_getaffinity(0))[:-1]))
    with tempfile.TemporaryDirectory() as folder:
        bench = Bench(Path(folder), told.flows + 4000)
        try:
            figures: dict[str, Any] = {
                "growth": bench.growth([size for size in (100, 1000, 10_000) if size <= told.flows], 1.0),
                "placing": bench.placing(500),
                "throughput": bench.throughput(told.seconds, 32),
                "latency": bench.added_latency(3000),
                "unknown_ids": bench.unknown(1.0),
                "ending_quic_instead": stack(1.0),
            }
        finally:
            bench.close()
    if not told.json:
        for name, each in figures.items():
            for row in each if isinstance(each, list) else [each]:
                print(f"{name:20}", "  ".join(f"{key} {value:,.2f}" for key, value in row.items()))
    print(json.dumps(figures, sort_keys=True))


if __name__ == "__main__":
    main()
