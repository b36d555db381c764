"""The fencing of sessions as a model: two servers, crash, delay, loss, repeats and reordering of every message.

The model changes registers by ``resume.core.register`` itself, so the two can't drift apart. What it adds is what can
happen around them. A message, once sent, may be delivered at any later moment, any number of times, or never.

``MUTANTS`` are protocols with one guard left out; the checker has to catch each.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from minicheck import Protocol

from scaledeal.resume.core import register as reg
from scaledeal.resume.core.register import Credential, Progress, Register

LINES = 2  # of the client's
EPOCHS = 3  # claims are made up to this epoch
ATTEMPTS = 3  # resumes that the client makes
NEVER = 1 << 60

Message = tuple[Any, ...]


class Server(msgspec.Struct, frozen=True):
    """A server's memory, which a crash wipes: the epoch it believes to hold, and lines it has taken and recorded."""

    epoch: int = 0
    taken: int = 0
    recorded: int = 0
    answered: bool = False


class Client(msgspec.Struct, frozen=True):
    """What the client knows: its token's epoch, where it is connected, what was acknowledged."""

    epoch: int = 1
    server: int = 0
    acknowledged: int = 0
    secret: int = 0  # the number of the secret that opens its token
    committed: int = 0  # of the last one that it has committed to


class World(msgspec.Struct, frozen=True):
    """Everything; ``effects`` counts how often each line was made to count, ``byes`` final answers that left."""

    register: Register
    servers: tuple[Server, Server]
    client: Client
    net: frozenset[Message]
    effects: tuple[int, ...]
    byes: int = 0
    honoured: frozenset[Message] = frozenset()
    twice: bool = False  # one resume was honoured a second time


class Rules(msgspec.Struct, frozen=True):
    """The protocol's guards; a mutant leaves one out."""

    fence: bool = True  # a claim moves the epoch on
    compare: bool = True  # a record compares the epoch
    write_first: bool = True  # a line is recorded before it is acknowledged
    ask_first: bool = True  # the register grants the answer before it is given
    commit_anew: bool = True  # a claim takes the new commitment


MUTANTS = {
    "a fence left out": Rules(fence=False),
    "an epoch not compared": Rules(compare=False),
    "an acknowledgement before the write": Rules(write_first=False),
    "an answer that nobody granted": Rules(ask_first=False),
    "a commitment that is not renewed": Rules(commit_anew=False),
}
Step = tuple[str, World]


def _commitment(secret: int) -> bytes:
    return b"%d" % secret


def start() -> World:
    """Return the world after a session has begun at the first server."""
    begun = reg.begin(None, "s", "0", NEVER, _commitment(0))
    assert isinstance(begun, Register)
    return World(begun, (Server(1), Server()), Client(), frozenset(), (0,) * LINES)


def steps(world: World, rules: Rules) -> list[Step]:
    """Return everything that may happen next."""
    found: list[Step] = _client_steps(world)
    for number, server in enumerate(world.servers):
        found += _server_steps(world, number, server, rules)
    for message in world.net:
        found += _delivered(world, message, rules)
    return found


def _with(world: World, number: int, server: Server, **more: Any) -> World:
    servers = list(world.servers)
    servers[number] = server
    return msgspec.structs.replace(world, servers=(servers[0], servers[1]), **more)


def _client_steps(world: World) -> list[Step]:
    client = world.client
    found: list[Step] = []
    for line in range(client.acknowledged + 1, LINES + 1):
        message = ("line", client.server, client.epoch, line)
        if message not in world.net:
            found.append((f"client sends line {line}", msgspec.structs.replace(world, net=world.net | {message})))
    for server in (0, 1):  # it may come again at any time: its connection broke, or it thinks so
        new = client.committed + 1
        if new <= ATTEMPTS and client.epoch < EPOCHS:
            # The token's secret, and the last one that may have taken its place without the client's hearing so.
            again = ("resume", server, client.epoch, client.secret, client.committed, new)
            known = msgspec.structs.replace(client, committed=new)
            found.append(
                (f"client resumes at {server}", msgspec.structs.replace(world, net=world.net | {again}, client=known))
            )
    return found


def _server_steps(world: World, number: int, server: Server, rules: Rules) -> list[Step]:
    if not server.epoch:
        return []
    found: list[Step] = [(f"server {number} crashes", _with(world, number, Server()))]
    if server.taken > server.recorded:
        found.append((f"server {number} records", _recorded(world, number, server, rules)))
    if server.recorded == LINES and not server.answered:
        found.append((f"server {number} answers", _answered(world, number, server, rules)))
    return found


def _recorded(world: World, number: int, server: Server, rules: Rules) -> World:
    epoch = server.epoch if rules.compare else world.register.epoch
    after = reg.record(world.register, epoch, Progress(server.taken, 0), NEVER)
    if not isinstance(after, Register):
        return _with(world, number, Server())  # fenced: it ends the connection and forgets
    effects = tuple(count + (server.recorded < line <= server.taken) for line, count in enumerate(world.effects, 1))
    net = world.net | {("ack", server.epoch, server.taken)}
    done = msgspec.structs.replace(server, recorded=server.taken)
    return _with(world, number, done, register=after, effects=effects, net=net)


def _answered(world: World, number: int, server: Server, rules: Rules) -> World:
    after = reg.answer(world.register, server.epoch)
    if not isinstance(after, Register) and rules.ask_first:
        return _with(world, number, Server())
    kept = after if isinstance(after, Register) else world.register
    done = msgspec.structs.replace(server, answered=True)
    return _with(world, number, done, register=kept, byes=world.byes + 1)


def _delivered(world: World, message: Message, rules: Rules) -> list[Step]:
    deliver: dict[str, Callable[..., World | None]] = {"line": _line, "resume": _resume, "ack": _ack, "up": _up}
    after = deliver[message[0]](world, rules, *message[1:])
    return [(f"{' '.join(map(str, message))} arrives", after)] if after is not None and after != world else []


def _line(world: World, rules: Rules, number: int, epoch: int, line: int) -> World | None:
    server = world.servers[number]
    if server.epoch != epoch or line != server.taken + 1:
        return None
    net = world.net if rules.write_first else world.net | {("ack", epoch, line)}
    return _with(world, number, msgspec.structs.replace(server, taken=line), net=net)


def _resume(world: World, rules: Rules, number: int, epoch: int, secret: int, last: int, new: int) -> World | None:
    opened = tuple(_commitment(each) for each in {secret, last})
    after = reg.claim(world.register, Credential(epoch, opened, _commitment(new)), str(number), 0, NEVER)
    if not isinstance(after, Register) or after.epoch > EPOCHS:
        return None
    if not rules.fence:
        after = msgspec.structs.replace(after, epoch=world.register.epoch)
    if not rules.commit_anew:
        after = msgspec.structs.replace(after, commitment=world.register.commitment)
    server, shown = Server(after.epoch, after.applied, after.applied), (epoch, secret, last, new)
    return _with(
        world,
        number,
        server,
        register=after,
        honoured=world.honoured | {shown},
        twice=world.twice or shown in world.honoured,
        net=world.net | {("up", number, after.epoch, after.applied, new)},
    )


def _ack(world: World, rules: Rules, epoch: int, line: int) -> World | None:
    if epoch != world.client.epoch or line <= world.client.acknowledged:
        return None
    return msgspec.structs.replace(world, client=msgspec.structs.replace(world.client, acknowledged=line))


def _up(world: World, rules: Rules, number: int, epoch: int, applied: int, secret: int) -> World | None:
    if epoch <= world.client.epoch:
        return None
    acknowledged = max(applied, world.client.acknowledged)
    client = Client(epoch, number, acknowledged, secret, max(secret, world.client.committed))
    return msgspec.structs.replace(world, client=client)


def _one_owner(fields: dict[str, Any]) -> bool:
    one, other = fields["world"].servers
    return not one.epoch or one.epoch != other.epoch


INVARIANTS: dict[str, Callable[[dict[str, Any]], bool]] = {
    "one owner at an epoch": _one_owner,
    "one final answer": lambda fields: fields["world"].byes <= 1,
    "a resume is honoured once": lambda fields: not fields["world"].twice,
    "no line twice": lambda fields: max(fields["world"].effects) <= 1,
    "no line lost": lambda fields: (
        fields["world"].client.acknowledged <= fields["world"].register.applied
        and (not fields["world"].byes or min(fields["world"].effects) == 1)
    ),
}


SOUND = Rules()


def protocol(rules: Rules = SOUND) -> Protocol:
    """Return the model for the checker."""
    return Protocol(
        name="fencing",
        candidate=False,
        fields=("world",),
        initial=(start(),),
        transitions=lambda state: [(label, (after,)) for label, after in steps(state[0], rules)],
        invariants=INVARIANTS,
    )
