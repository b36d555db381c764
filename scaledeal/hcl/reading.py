"""Reads HCL into types, and tells everything that is wrong at once, each with its place and reason.

The grammar is python-hcl2's; its tree, unlike its dictionaries, knows the line of each value. What breaks a rule is
told together with what is no value at all: rules look at whatever could be read, see ``told``.
"""

from __future__ import annotations

import types
import typing
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import Any, TypeVar, Union

import hcl2
import msgspec
from lark import Token, Tree
from lark.exceptions import LarkError

LONGEST = 1 << 20  # bytes; a longer file is no such file

Kind = TypeVar("Kind", bound=msgspec.Struct)
Breach = tuple[str, str]  # the place and the reason
Rule = Callable[[Any], Iterable[Breach]]  # looks at what was read, and tells what it breaks


class UnreadError(Exception):
    """A rule needs a value that could not be read: that was told, and the rule has nothing to say."""


class Partial:
    """What could be read of a block in which something is wrong."""

    def __init__(self, values: dict[str, Any]) -> None:
        self.__dict__.update(values)

    def __getattr__(self, name: str) -> Any:
        raise UnreadError(name)


class Fault(msgspec.Struct, frozen=True, order=True):
    """One thing wrong with the file; ``line`` counts from 1, 0 where the fault is of the whole file."""

    line: int
    place: str
    reason: str

    def __str__(self) -> str:
        where = f"line {self.line}: " if self.line else ""
        return f"{where}{self.place}: {self.reason}" if self.place else f"{where}{self.reason}"


class FileError(Exception):
    """A file that can't be obeyed; ``faults`` holds everything that is wrong with it."""

    def __init__(self, faults: list[Fault]) -> None:
        self.faults = sorted(faults)
        super().__init__("; ".join(map(str, self.faults)))


class Block(msgspec.Struct):
    """One block of the file: its label, its values and the blocks inside, each with its line."""

    line: int
    label: str = ""
    values: dict[str, tuple[int, Any]] = {}
    blocks: dict[str, list[Block]] = {}


def read_file(path: Path) -> str:
    """Return the text of a file; raise FileError where there is none to be had."""
    try:
        if path.stat().st_size > LONGEST:
            raise FileError([Fault(0, str(path), f"longer than {LONGEST} bytes")])
        return path.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise FileError([Fault(0, str(path), getattr(error, "strerror", None) or str(error))]) from None


def read_as(text: str, kind: type[Kind], rules: Iterable[Rule], under: Iterable[str] = ()) -> Kind:
    """Read a text as one kind of file and hold it against rules; raise FileError with all that is wrong.

    ``under`` holds the texts of files that this one builds on, the lowest first: its values take the place of theirs,
    block by block and label by label; what stands only in one of them is taken from there.
    """
    reader = _Reader()
    root = reader.tree(text)
    for lower in reversed(list(under)):
        below = _Reader().tree(lower)
        root = _laid_over(root, below) if root is not None and below is not None else root
    taken = reader.struct(root, kind, "") if root is not None else None
    if taken is not None:
        spoken = {fault.place for fault in reader.faults}
        reader.faults += [
            Fault(reader.line_of(place), place, reason) for place, reason in told(rules, taken) if place not in spoken
        ]
    if reader.faults or not isinstance(taken, kind):
        raise FileError(reader.faults)
    return taken


def told(rules: Iterable[Rule], found: Any) -> Iterator[Breach]:
    """Yield what the rules break, as far as they find what they need."""
    for rule in rules:
        try:
            yield from rule(found)
        except UnreadError:
            continue


def _laid_over(over: Block, under: Block) -> Block:
    """Return one block with another's values where it has none; lines are told of the upper one alone."""
    values = {name: (0, value) for name, (_, value) in under.values.items()} | over.values
    blocks = {
        name: [_laid_over(Block(0, each.label, {}, {}), each) for each in many] for name, many in under.blocks.items()
    }
    for name, many in over.blocks.items():
        blocks[name] = _together(many, blocks.get(name, []))
    return Block(over.line, over.label, values, blocks)


def _together(over: list[Block], under: list[Block]) -> list[Block]:
    """Return blocks of one name, each upper one in the place of the first lower one of its label that is left."""
    found, left = list(under), list(range(len(under)))
    for upper in over:
        place = next((at for at in left if found[at].label == upper.label), None)
        if place is None:
            found.append(upper)
        else:
            left.remove(place)
            found[place] = _laid_over(upper, found[place])
    return found


class _Unread(msgspec.Struct):
    """Stands for a value that is none."""

    reason: str


class _Reader:
    """Collects faults instead of stopping at the first."""

    def __init__(self) -> None:
        self.faults: list[Fault] = []
        self.lines: dict[str, int] = {}

    def line_of(self, place: str) -> int:
        """Return the line of a place, or of the block that it would stand in."""
        while place and place not in self.lines:
            place = place.rpartition(".")[0]
        return self.lines.get(place, 0)

    # From text to blocks

    def tree(self, text: str) -> Block | None:
        """Parse the text."""
        try:
            parsed = hcl2.parses_to_tree(text if text.endswith("\n") else text + "\n")
        except (LarkError, ValueError, RecursionError) as error:
            line = getattr(error, "line", 0)
            self.faults.append(Fault(max(0, line), "", "no HCL: " + str(error).split("\n")[0]))
            return None
        return self._body(parsed.children[0], Block(1, values={}, blocks={}))

    def _body(self, body: Any, into: Block) -> Block:
        for node in body.children:
            if not isinstance(node, Tree) or node.data not in ("attribute", "block"):
                continue
            name = _name(node.children[0])
            if node.data == "attribute":
                self._attribute(node, name, into)
            else:
                self._block(node, name, into)
        return into

    def _attribute(self, node: Tree[Any], name: str, into: Block) -> None:
        if name in into.values:
            into.values[name] = (node.meta.line, _Unread("stated twice"))
            return
        try:
            into.values[name] = (node.meta.line, _value(node.children[-1]))
        except ValueError as error:
            into.values[name] = (node.meta.line, _Unread(str(error)))

    def _block(self, node: Tree[Any], name: str, into: Block) -> None:
        labels = [_text(each) for each in node.children if isinstance(each, Tree) and each.data == "string"]
        inner = Block(node.meta.line, " ".join(labels), {}, {})
        for each in node.children:
            if isinstance(each, Tree) and each.data == "body":
                self._body(each, inner)
        into.blocks.setdefault(name, []).append(inner)

    # From blocks to types

    def struct(self, block: Block, kind: type[msgspec.Struct], place: str) -> msgspec.Struct | Partial:
        """Decode one block; where anything in it is wrong, return what is right."""
        before = len(self.faults)
        self.lines[place] = block.line
        fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
        hints = typing.get_type_hints(kind, include_extras=True)
        known = [name for name in fields if name != "name"]
        for name, line in self._names(block):
            if name not in known:
                self._fault(line, place, name, f"not known here; known are {', '.join(known)}")
        taken: dict[str, Any] = {"name": block.label} if "name" in fields else {}
        for name in known:
            field = fields[name]
            found = self._field(block, name, hints[field.name], place)
            if found is not ...:
                taken[field.name] = found
            elif field.required and name not in block.values and name not in block.blocks:
                self._fault(block.line, place, name, "is missing")
        if len(self.faults) == before:
            return kind(**taken)
        spoilt = {name for name in known if name in block.values or name in block.blocks}
        defaults = {
            field.name: field.default
            for name, field in fields.items()
            if name not in spoilt and field.default is not msgspec.NODEFAULT
        }
        return Partial(defaults | taken)

    def _field(self, block: Block, name: str, hint: Any, place: str) -> Any:
        """Return a field's value, or ``...`` where there is none or it is wrong."""
        at = f"{place}.{name}".lstrip(".")
        inner, many = _inner(hint)
        if inner is None:
            if name in block.blocks:
                self._fault(block.blocks[name][0].line, place, name, "is a value, not a block")
            elif name in block.values:
                return self._convert(block.values[name], hint, at)
            return ...
        if name in block.values:
            self._fault(block.values[name][0], place, name, "is a block, not a value")
            return ...
        blocks = block.blocks.get(name, [])
        if many:
            return tuple(self.struct(each, inner, f'{at}["{each.label}"]') for each in blocks) if blocks else ...
        for extra in blocks[1:]:
            self._fault(extra.line, place, name, "stated twice")
        return self.struct(blocks[0], inner, at) if blocks else ...

    def _convert(self, found: tuple[int, Any], hint: Any, at: str) -> Any:
        line, value = found
        self.lines[at] = line
        if isinstance(value, _Unread):
            self.faults.append(Fault(line, at, value.reason))
            return ...
        try:
            return msgspec.convert(value, hint, strict=True, dec_hook=_own)
        except msgspec.ValidationError as error:
            self.faults.append(Fault(line, at, str(error)))
            return ...

    def _names(self, block: Block) -> list[tuple[str, int]]:
        return [(name, line) for name, (line, _) in block.values.items()] + [
            (name, each.line) for name, many in block.blocks.items() for each in many
        ]

    def _fault(self, line: int, place: str, name: str, reason: str) -> None:
        self.faults.append(Fault(line, f"{place}.{name}".lstrip("."), reason))


def _own(kind: type, value: Any) -> Any:
    """Have a type of values read what it is written as."""
    if (reads := getattr(kind, "read", None)) is not None:
        return reads(value)
    raise NotImplementedError(kind)


def _inner(hint: Any) -> tuple[type[msgspec.Struct] | None, bool]:
    """Return the struct that a hint holds, if any, and whether it holds several."""
    arguments = typing.get_args(hint)
    if typing.get_origin(hint) is tuple and _is_struct(arguments[0]):
        return arguments[0], True
    if typing.get_origin(hint) in (Union, types.UnionType):
        return next((each for each in arguments if _is_struct(each)), None), False
    return (hint, False) if _is_struct(hint) else (None, False)


def _is_struct(hint: Any) -> bool:
    return isinstance(hint, type) and issubclass(hint, msgspec.Struct)


def _name(node: Any) -> str:
    return str(node.children[0]) if isinstance(node, Tree) else str(node)


def _text(node: Tree[Any]) -> str:
    """Return a plain string's text; raise ValueError for one that has to be worked out."""
    parts: list[str] = []
    for each in node.children:
        if isinstance(each, Tree) and each.data == "string_part":
            if any(isinstance(part, Tree) for part in each.children):
                raise ValueError("only plain strings are taken, nothing that has to be worked out")
            parts += [str(part) for part in each.children]
    text = "".join(parts)
    # Guards against a value that means something else than it shows: escapes are those of HCL, and no more.
    for escape, plain in (('\\"', '"'), ("\\n", "\n"), ("\\t", "\t"), ("\\\\", "\\")):
        text = text.replace(escape, plain)
    return text


def _value(node: Any) -> Any:
    """Return what an expression says; only plain values are taken."""
    if isinstance(node, Token):
        return _token(str(node))
    inner = [each for each in node.children if not (isinstance(each, Tree) and each.data == "new_line_or_comment")]
    reader: Callable[[list[Any]], Any] | None = _READERS.get(str(node.data))
    if node.data == "string":
        return _text(node)
    if reader is None:
        raise ValueError("only strings, numbers, true, false and lists of them are taken")
    return reader(inner)


def _single(inner: list[Any]) -> Any:
    if len(inner) != 1:
        raise ValueError("only strings, numbers, true, false and lists of them are taken")
    return _value(inner[0])


def _listed(inner: list[Any]) -> list[Any]:
    return [_value(each) for each in inner if isinstance(each, Tree)]


def _signed(inner: list[Any]) -> float | int:
    """Read a number behind its sign; what else a sign stands before has to be worked out."""
    value = _value(inner[-1])
    if str(inner[0]) != "-" or isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ValueError("only strings, numbers, true, false and lists of them are taken")
    return -value


def _number(inner: list[Any]) -> float | int:
    text = "".join(str(each) for each in inner)
    try:
        return int(text)
    except ValueError:
        return float(text)


def _token(text: str) -> Any:
    words = {"true": True, "false": False, "null": None}
    if text in words:
        return words[text]
    return _number([text])


_READERS: dict[str, Callable[[list[Any]], Any]] = {
    "unary_op": _signed,
    "expr_term": _single,
    "tuple": _listed,
    "int_lit": _number,
    "float_lit": _number,
    "identifier": lambda inner: _token(str(inner[0])),
    "literal_value": lambda inner: _token(str(inner[0])),
}
