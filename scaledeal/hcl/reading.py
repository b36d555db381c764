"""Decode HCL into msgspec types and report all faults together, each with its place and reason.

The parser is python-hcl2; its syntax tree, unlike its dictionaries, holds the line of each value. Rule violations are
reported together with invalid values, because rules are checked against the values that could be read; see
``check_rules``.
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

MAX_FILE_SIZE_BYTES = 1 << 20  # a longer file is refused unread: it can't be a settings file

StructT = TypeVar("StructT", bound=msgspec.Struct)
RuleViolation = tuple[str, str]  # the place and the reason
Rule = Callable[[Any], Iterable[RuleViolation]]  # takes a decoded block and yields its violations


class UnreadableValueError(Exception):
    """Raised by access to a value that could not be read; its fault is already reported, so the rule is skipped."""


class PartialBlock:
    """The values that could be read of a block with faults; access to any other raises UnreadableValueError."""

    def __init__(self, values: dict[str, Any]) -> None:
        self.__dict__.update(values)

    def __getattr__(self, name: str) -> Any:
        raise UnreadableValueError(name)


class Fault(msgspec.Struct, frozen=True, order=True):
    """One fault of a file; ``line`` counts from 1 and is 0 for a fault of the whole file."""

    line: int
    place: str
    reason: str

    def __str__(self) -> str:
        prefix = f"line {self.line}: " if self.line else ""
        return f"{prefix}{self.place}: {self.reason}" if self.place else f"{prefix}{self.reason}"


class FileError(Exception):
    """An invalid file; ``faults`` holds all of its faults, sorted by line."""

    def __init__(self, faults: list[Fault]) -> None:
        self.faults = sorted(faults)
        super().__init__("; ".join(map(str, self.faults)))


class Block(msgspec.Struct):
    """One block of a file: its label, its values and its inner blocks, each with its line."""

    line: int
    label: str = ""
    values: dict[str, tuple[int, Any]] = {}
    blocks: dict[str, list[Block]] = {}


def read_file(path: Path) -> str:
    """Return the text of a file; raise FileError if it can't be read, is not UTF-8 or is too long."""
    try:
        if path.stat().st_size > MAX_FILE_SIZE_BYTES:
            raise FileError([Fault(0, str(path), f"longer than {MAX_FILE_SIZE_BYTES} bytes")])
        return path.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise FileError([Fault(0, str(path), getattr(error, "strerror", None) or str(error))]) from None


def read_as(text: str, kind: type[StructT], rules: Iterable[Rule], base_texts: Iterable[str] = ()) -> StructT:
    """Decode a text as one kind of file and check it against rules; raise FileError with all its faults.

    ``base_texts`` holds the texts of the files that this one extends, the lowest first. A value of this file overrides
    the value of the same block and label in a base; a value that only a base has is inherited from it.
    """
    reader = _Reader()
    root = reader.parse(text)
    for base_text in reversed(list(base_texts)):
        base = _Reader().parse(base_text)
        root = _merge_block(root, base) if root is not None and base is not None else root
    decoded = reader.struct(root, kind, "") if root is not None else None
    if decoded is not None:
        reported = {fault.place for fault in reader.faults}
        reader.faults += [
            Fault(reader.line_of(place), place, reason)
            for place, reason in check_rules(rules, decoded)
            if place not in reported
        ]
    if reader.faults or not isinstance(decoded, kind):
        raise FileError(reader.faults)
    return decoded


def check_rules(rules: Iterable[Rule], decoded: Any) -> Iterator[RuleViolation]:
    """Yield the violations of rules; a rule that needs a value that could not be read ends there."""
    for rule in rules:
        try:
            yield from rule(decoded)
        except UnreadableValueError:
            continue


def _merge_block(upper: Block, lower: Block) -> Block:
    """Return the upper block with the lower one's values where it has none; inherited values get line 0."""
    values = {name: (0, value) for name, (_, value) in lower.values.items()} | upper.values
    blocks = {
        name: [_merge_block(Block(0, block.label, {}, {}), block) for block in same_name]
        for name, same_name in lower.blocks.items()
    }
    for name, same_name in upper.blocks.items():
        blocks[name] = _merge_block_lists(same_name, blocks.get(name, []))
    return Block(upper.line, upper.label, values, blocks)


def _merge_block_lists(upper_blocks: list[Block], lower_blocks: list[Block]) -> list[Block]:
    """Merge blocks of one name, each upper one with the first unmatched lower one of its label; append the rest."""
    merged, unmatched = list(lower_blocks), list(range(len(lower_blocks)))
    for upper in upper_blocks:
        index = next((candidate for candidate in unmatched if merged[candidate].label == upper.label), None)
        if index is None:
            merged.append(upper)
        else:
            unmatched.remove(index)
            merged[index] = _merge_block(upper, merged[index])
    return merged


class _InvalidValue(msgspec.Struct):
    """Placeholder for a value that could not be parsed."""

    reason: str


class _Reader:
    """Parses and decodes a file; collects faults instead of stopping at the first."""

    def __init__(self) -> None:
        self.faults: list[Fault] = []
        self.lines: dict[str, int] = {}

    def line_of(self, place: str) -> int:
        """Return the line of a place or, if it has none, of the nearest enclosing block."""
        while place and place not in self.lines:
            place = place.rpartition(".")[0]
        return self.lines.get(place, 0)

    # Parsing: from text to blocks

    def parse(self, text: str) -> Block | None:
        """Return the root block of a text, or None with a fault if it is not HCL."""
        try:
            parsed = hcl2.parses_to_tree(text if text.endswith("\n") else text + "\n")
        except (LarkError, ValueError, RecursionError) as error:
            line = getattr(error, "line", 0)
            self.faults.append(Fault(max(0, line), "", "not valid HCL: " + str(error).split("\n")[0]))
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
            into.values[name] = (node.meta.line, _InvalidValue("set twice"))
            return
        try:
            into.values[name] = (node.meta.line, _value(node.children[-1]))
        except ValueError as error:
            into.values[name] = (node.meta.line, _InvalidValue(str(error)))

    def _block(self, node: Tree[Any], name: str, into: Block) -> None:
        labels = [_text(child) for child in node.children if isinstance(child, Tree) and child.data == "string"]
        inner = Block(node.meta.line, " ".join(labels), {}, {})
        for child in node.children:
            if isinstance(child, Tree) and child.data == "body":
                self._body(child, inner)
        into.blocks.setdefault(name, []).append(inner)

    # Decoding: from blocks to types

    def struct(self, block: Block, kind: type[msgspec.Struct], place: str) -> msgspec.Struct | PartialBlock:
        """Decode one block; if it has faults, report them and return its valid values as a PartialBlock."""
        faults_before = len(self.faults)
        self.lines[place] = block.line
        fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
        hints = typing.get_type_hints(kind, include_extras=True)
        known = [name for name in fields if name != "name"]
        for name, line in self._names(block):
            if name not in known:
                self._fault(line, place, name, f"unknown name; known names are {', '.join(known)}")
        decoded: dict[str, Any] = {"name": block.label} if "name" in fields else {}
        for name in known:
            field = fields[name]
            value = self._field(block, name, hints[field.name], place)
            if value is not ...:
                decoded[field.name] = value
            elif field.required and name not in block.values and name not in block.blocks:
                self._fault(block.line, place, name, "is missing")
        if len(self.faults) == faults_before:
            return kind(**decoded)
        invalid = {name for name in known if name in block.values or name in block.blocks}
        defaults = {
            field.name: field.default
            for name, field in fields.items()
            if name not in invalid and field.default is not msgspec.NODEFAULT
        }
        return PartialBlock(defaults | decoded)

    def _field(self, block: Block, name: str, hint: Any, place: str) -> Any:
        """Return a field's value, or ``...`` if it is absent or invalid."""
        field_place = f"{place}.{name}".lstrip(".")
        inner, repeated = _struct_in(hint)
        if inner is None:
            if name in block.blocks:
                self._fault(block.blocks[name][0].line, place, name, "must be a value, not a block")
            elif name in block.values:
                return self._convert(block.values[name], hint, field_place)
            return ...
        if name in block.values:
            self._fault(block.values[name][0], place, name, "must be a block, not a value")
            return ...
        blocks = block.blocks.get(name, [])
        if repeated:
            return (
                tuple(self.struct(item, inner, f'{field_place}["{item.label}"]') for item in blocks) if blocks else ...
            )
        for extra in blocks[1:]:
            self._fault(extra.line, place, name, "set twice")
        return self.struct(blocks[0], inner, field_place) if blocks else ...

    def _convert(self, line_and_value: tuple[int, Any], hint: Any, place: str) -> Any:
        line, value = line_and_value
        self.lines[place] = line
        if isinstance(value, _InvalidValue):
            self.faults.append(Fault(line, place, value.reason))
            return ...
        try:
            return msgspec.convert(value, hint, strict=True, dec_hook=_read_custom_type)
        except msgspec.ValidationError as error:
            self.faults.append(Fault(line, place, str(error)))
            return ...

    def _names(self, block: Block) -> list[tuple[str, int]]:
        return [(name, line) for name, (line, _) in block.values.items()] + [
            (name, inner.line) for name, same_name in block.blocks.items() for inner in same_name
        ]

    def _fault(self, line: int, place: str, name: str, reason: str) -> None:
        self.faults.append(Fault(line, f"{place}.{name}".lstrip("."), reason))


def _read_custom_type(kind: type, value: Any) -> Any:
    """Decode a value with the ``read`` method of its type; used by msgspec for types that it does not know."""
    if (read := getattr(kind, "read", None)) is not None:
        return read(value)
    raise NotImplementedError(kind)


def _struct_in(hint: Any) -> tuple[type[msgspec.Struct] | None, bool]:
    """Return the struct type in a type hint, if any, and whether the hint is a tuple of such structs."""
    arguments = typing.get_args(hint)
    if typing.get_origin(hint) is tuple and _is_struct(arguments[0]):
        return arguments[0], True
    if typing.get_origin(hint) in (Union, types.UnionType):
        return next((argument for argument in arguments if _is_struct(argument)), None), False
    return (hint, False) if _is_struct(hint) else (None, False)


def _is_struct(hint: Any) -> bool:
    return isinstance(hint, type) and issubclass(hint, msgspec.Struct)


def _name(node: Any) -> str:
    return str(node.children[0]) if isinstance(node, Tree) else str(node)


def _text(node: Tree[Any]) -> str:
    """Return the text of a plain string; raise ValueError for one with an interpolation."""
    parts: list[str] = []
    for child in node.children:
        if isinstance(child, Tree) and child.data == "string_part":
            if any(isinstance(part, Tree) for part in child.children):
                raise ValueError("only plain strings are allowed, without interpolation")
            parts += [str(part) for part in child.children]
    text = "".join(parts)
    # The parser leaves escapes in place, so without this a value would differ from the string that HCL defines.
    # Only these escapes of HCL are replaced.
    for escape, plain in (('\\"', '"'), ("\\n", "\n"), ("\\t", "\t"), ("\\\\", "\\")):
        text = text.replace(escape, plain)
    return text


def _value(node: Any) -> Any:
    """Return the value of an expression; raise ValueError for anything but a plain value."""
    if isinstance(node, Token):
        return _token(str(node))
    inner = [child for child in node.children if not (isinstance(child, Tree) and child.data == "new_line_or_comment")]
    reader: Callable[[list[Any]], Any] | None = _READERS.get(str(node.data))
    if node.data == "string":
        return _text(node)
    if reader is None:
        raise ValueError("only strings, numbers, true, false and lists of them are allowed")
    return reader(inner)


def _single(inner: list[Any]) -> Any:
    if len(inner) != 1:
        raise ValueError("only strings, numbers, true, false and lists of them are allowed")
    return _value(inner[0])


def _list(inner: list[Any]) -> list[Any]:
    return [_value(child) for child in inner if isinstance(child, Tree)]


def _signed(inner: list[Any]) -> float | int:
    """Return a negative number; raise ValueError for any other operator or operand, which is an expression."""
    value = _value(inner[-1])
    if str(inner[0]) != "-" or isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ValueError("only strings, numbers, true, false and lists of them are allowed")
    return -value


def _number(inner: list[Any]) -> float | int:
    text = "".join(str(child) for child in inner)
    try:
        return int(text)
    except ValueError:
        return float(text)


def _token(text: str) -> Any:
    literals = {"true": True, "false": False, "null": None}
    if text in literals:
        return literals[text]
    return _number([text])


_READERS: dict[str, Callable[[list[Any]], Any]] = {
    "unary_op": _signed,
    "expr_term": _single,
    "tuple": _list,
    "int_lit": _number,
    "float_lit": _number,
    "identifier": lambda inner: _token(str(inner[0])),
    "literal_value": lambda inner: _token(str(inner[0])),
}
