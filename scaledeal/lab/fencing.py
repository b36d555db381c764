"""A model of session fencing: two servers with crashes; delay, loss, duplication and reordering of every message.

The model changes registers by calling ``resume.core.register`` itself, so that model and code can't diverge. It adds
the events around the registers. A message, once sent, may be delivered at any later time, any number of times, or
never.

``MUTANTS`` are protocols with one guard left out; the checker must find a violation in each.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from minicheck import Protocol

from scaledeal.resume.core import register as reg
from scaledeal.resume.core.register import Credential, Progress, Register

CLIENT_LINES = 2
MAX_EPOCH = 3  # claims beyond this epoch are not explored
MAX_RESUMES = 3  # by the client
NEVER_NS = 1 << 60  # an expiry that no run reaches

Message = tuple[Any, ...]


class Server(msgspec.Struct, frozen=True):
    """A server's memory, which a crash erases: its epoch, and the last client line received and recorded."""

    epoch: int = 0
    received: int = 0
    recorded: int = 0
    answered: bool = False


class Client(msgspec.Struct, frozen=True):
    """The client's state: its token's epoch, the server that it is connected to, and its last acknowledged line."""

    epoch: int = 1
    server: int = 0
    acknowledged: int = 0
    secret: int = 0  # number of the secret that opens its token
    last_committed: int = 0  # number of the last secret that it has committed to


class World(msgspec.Struct, frozen=True):
    """The whole state; ``applications`` counts how often each line was applied, ``final_answers`` the answers sent."""

    register: Register
    servers: tuple[Server, Server]
    client: Client
    net: frozenset[Message]
    applications: tuple[int, ...]
    final_answers: int = 0
    granted_resumes: frozenset[Message] = frozenset()
    resume_granted_twice: bool = False


class Rules(msgspec.Struct, frozen=True):
    """The guards of the protocol; a mutant leaves one out."""

    advance_epoch: bool = True  # a claim increments the epoch
    compare_epoch: bool = True  # a record compares the epoch
    record_before_ack: bool = True  # a line is recorded before it is acknowledged
    grant_before_answer: bool = True  # the register grants the final answer before it is sent
    renew_commitment: bool = True  # a claim replaces the commitment


MUTANTS = {
    "epoch not advanced": Rules(advance_epoch=False),
    "epoch not compared": Rules(compare_epoch=False),
    "acknowledged before recorded": Rules(record_before_ack=False),
    "answered without a grant": Rules(grant_before_answer=False),
    "commitment not renewed": Rules(renew_commitment=False),
}
Step = tuple[str, World]


def _commitment(secret: int) -> bytes:
    return b"%d" % secret


def start() -> World:
    """Return the state after a session has begun at the first server."""
    begun = reg.begin(None, "s", "0", NEVER_NS, _commitment(0))
    assert isinstance(begun, Register)
    return World(begun, (Server(1), Server()), Client(), frozenset(), (0,) * CLIENT_LINES)


def steps(world: World, rules: Rules) -> list[Step]:
    """Return every event that may happen next, with the state after it."""
    found: list[Step] = _client_steps(world)
    for number, server in enumerate(world.servers):
        found += _server_steps(world, number, server, rules)
    for message in world.net:
        found += _delivery_steps(world, message, rules)
    return found


def _with_server(world: World, number: int, server: Server, **changes: Any) -> World:
    servers = list(world.servers)
    servers[number] = server
    return msgspec.structs.replace(world, servers=(servers[0], servers[1]), **changes)


def _client_steps(world: World) -> list[Step]:
    client = world.client
    found: list[Step] = []
    for line in range(client.acknowledged + 1, CLIENT_LINES + 1):
        message = ("line", client.server, client.epoch, line)
        if message not in world.net:
            found.append((f"client sends line {line}", msgspec.structs.replace(world, net=world.net | {message})))
    for server in (0, 1):  # it may resume at any time: its connection broke, or it assumes so
        new = client.last_committed + 1
        if new <= MAX_RESUMES and client.epoch < MAX_EPOCH:
            # The token's secret, and the last one committed to, which is the right one if the answer to a resume was
            # lost.
            resume = ("resume", server, client.epoch, client.secret, client.last_committed, new)
            updated = msgspec.structs.replace(client, last_committed=new)
            found.append(
                (
                    f"client resumes at {server}",
                    msgspec.structs.replace(world, net=world.net | {resume}, client=updated),
                )
            )
    return found


def _server_steps(world: World, number: int, server: Server, rules: Rules) -> list[Step]:
    if not server.epoch:
        return []
    found: list[Step] = [(f"server {number} crashes", _with_server(world, number, Server()))]
    if server.received > server.recorded:
        found.append((f"server {number} records", _record(world, number, server, rules)))
    if server.recorded == CLIENT_LINES and not server.answered:
        found.append((f"server {number} answers", _answer(world, number, server, rules)))
    return found


def _record(world: World, number: int, server: Server, rules: Rules) -> World:
    epoch = server.epoch if rules.compare_epoch else world.register.epoch
    after = reg.record(world.register, epoch, Progress(server.received, 0), NEVER_NS)
    if not isinstance(after, Register):
        return _with_server(world, number, Server())  # fenced: it closes the connection and drops its state
    applications = tuple(
        count + (server.recorded < line <= server.received) for line, count in enumerate(world.applications, 1)
    )
    net = world.net | {("ack", server.epoch, server.received)}
    updated = msgspec.structs.replace(server, recorded=server.received)
    return _with_server(world, number, updated, register=after, applications=applications, net=net)


def _answer(world: World, number: int, server: Server, rules: Rules) -> World:
    after = reg.answer(world.register, server.epoch)
    if not isinstance(after, Register) and rules.grant_before_answer:
        return _with_server(world, number, Server())
    kept = after if isinstance(after, Register) else world.register
    updated = msgspec.structs.replace(server, answered=True)
    return _with_server(world, number, updated, register=kept, final_answers=world.final_answers + 1)


def _delivery_steps(world: World, message: Message, rules: Rules) -> list[Step]:
    handlers: dict[str, Callable[..., World | None]] = {
        "line": _line_arrives,
        "resume": _resume_arrives,
        "ack": _ack_arrives,
        "up": _up_arrives,
    }
    after = handlers[message[0]](world, rules, *message[1:])
    return [(f"{' '.join(map(str, message))} arrives", after)] if after is not None and after != world else []


def _line_arrives(world: World, rules: Rules, number: int, epoch: int, line: int) -> World | None:
    server = world.servers[number]
    if server.epoch != epoch or line != server.received + 1:
        return None
    net = world.net if rules.record_before_ack else world.net | {("ack", epoch, line)}
    return _with_server(world, number, msgspec.structs.replace(server, received=line), net=net)


def _resume_arrives(
    world: World, rules: Rules, number: int, epoch: int, secret: int, last_committed: int, new: int
) -> World | None:
    opened = tuple(_commitment(each) for each in {secret, last_committed})
    after = reg.claim(world.register, Credential(epoch, opened, _commitment(new)), str(number), 0, NEVER_NS)
    if not isinstance(after, Register) or after.epoch > MAX_EPOCH:
        return None
    if not rules.advance_epoch:
        after = msgspec.structs.replace(after, epoch=world.register.epoch)
    if not rules.renew_commitment:
        after = msgspec.structs.replace(after, commitment=world.register.commitment)
    server, presented = Server(after.epoch, after.applied, after.applied), (epoch, secret, last_committed, new)
    return _with_server(
        world,
        number,
        server,
        register=after,
        granted_resumes=world.granted_resumes | {presented},
        resume_granted_twice=world.resume_granted_twice or presented in world.granted_resumes,
        net=world.net | {("up", number, after.epoch, after.applied, new)},
    )


def _ack_arrives(world: World, rules: Rules, epoch: int, line: int) -> World | None:
    if epoch != world.client.epoch or line <= world.client.acknowledged:
        return None
    return msgspec.structs.replace(world, client=msgspec.structs.replace(world.client, acknowledged=line))


def _up_arrives(world: World, rules: Rules, number: int, epoch: int, applied: int, secret: int) -> World | None:
    if epoch <= world.client.epoch:
        return None
    acknowledged = max(applied, world.client.acknowledged)
    client = Client(epoch, number, acknowledged, secret, max(secret, world.client.last_committed))
    return msgspec.structs.replace(world, client=client)


def _one_owner_per_epoch(fields: dict[str, Any]) -> bool:
    first, second = fields["world"].servers
    return not first.epoch or first.epoch != second.epoch


INVARIANTS: dict[str, Callable[[dict[str, Any]], bool]] = {
    "one owner per epoch": _one_owner_per_epoch,
    "one final answer": lambda fields: fields["world"].final_answers <= 1,
    "no resume is granted twice": lambda fields: not fields["world"].resume_granted_twice,
    "no line is applied twice": lambda fields: max(fields["world"].applications) <= 1,
    "no line is lost": lambda fields: (
        fields["world"].client.acknowledged <= fields["world"].register.applied
        and (not fields["world"].final_answers or min(fields["world"].applications) == 1)
    ),
}


ALL_GUARDS = Rules()


def protocol(rules: Rules = ALL_GUARDS) -> Protocol:
    """Return the model in the form that the checker takes."""
    return Protocol(
        name="fencing",
        candidate=False,
        fields=("world",),
        initial=(start(),),
        transitions=lambda state: [(label, (after,)) for label, after in steps(state[0], rules)],
        invariants=INVARIANTS,
    )
