"""Data classes that are defined in a fraction of the usual time.

Load pattern: all processes of a deployment start at the same time on small processors,
and each defines some 150 data classes before it serves anyone. The standard library
compiles up to seven functions for each class; here all classes share them, except the
constructor, which is compiled for the first instance.
"""

import dataclasses
from operator import attrgetter
from types import MemberDescriptorType

_set_attribute = object.__setattr__
_MISSING = dataclasses.MISSING


def dataclass(cls=None, /, *, frozen=False, slots=False):
    """Make a class a data class, as :func:`dataclasses.dataclass` does.

    Supported are fields with defaults and factories of defaults, inheritance among
    classes that are made here, and the functions of :mod:`dataclasses`.

    :param frozen: whether instances can't be changed, and can be hashed.
    :param slots: whether instances have no ``__dict__``.
    :raises TypeError: a field uses an option that isn't supported.

    >>> @dataclass(frozen=True)
    ... class Point:
    ...     x: int
    ...     y: int = 0
    >>> Point(3)
    Point(x=3, y=0)
    >>> Point(3) == Point(3, 0)
    True
    """
    if cls is None:
        return lambda cls: _make(cls, frozen, slots)
    return _make(cls, frozen, slots)


def _make(cls, is_frozen, has_slots):
    make = dataclasses.dataclass(init=False, repr=False, eq=False, slots=has_slots)
    cls = make(cls)
    fields = dataclasses.fields(cls)
    for field in fields:
        _check_is_supported(cls, field)
    cls._get_values = staticmethod(_make_getter([field.name for field in fields]))
    cls.__init__ = _make_lazy_init(cls, fields, is_frozen)
    cls.__repr__ = _repr
    cls.__eq__ = _eq
    cls.__hash__ = _hash if is_frozen else None
    if is_frozen:
        cls.__setattr__ = _reject_assignment
        cls.__delattr__ = _reject_deletion
    return cls


def _check_is_supported(cls, field):
    options = (field.init, field.repr, field.compare, field.hash, field.kw_only)
    if options != (True, True, True, None, False):
        name = f"{cls.__name__}.{field.name}"
        raise TypeError(f"{name}: only defaults, factories and metadata are supported")


def _make_getter(names):
    """Return a function of an instance that returns its values, for comparisons."""
    return attrgetter(*names) if names else lambda item: ()


def _make_lazy_init(cls, fields, is_frozen):
    def __init__(self, *args, **kwargs):
        # The first instance replaces this function by the compiled one.
        cls.__init__ = init = _compile_init(cls, fields, is_frozen)
        init(self, *args, **kwargs)

    return __init__


def _compile_init(cls, fields, is_frozen):
    """Return the constructor of a class, compiled from the list of its fields."""
    namespace = {"_set": _set_attribute, "_MISSING": _MISSING}
    parameters, lines = ["self"], []
    for field in fields:
        name, value = field.name, field.name
        parameter = name
        if field.default is not _MISSING:
            namespace[f"_default_{name}"] = field.default
            parameter = f"{name}=_default_{name}"
        elif field.default_factory is not _MISSING:
            namespace[f"_make_{name}"] = field.default_factory
            parameter = f"{name}=_MISSING"
            value = f"_make_{name}() if {name} is _MISSING else {name}"
        parameters.append(parameter)
        lines.append(_make_assignment(cls, name, value, is_frozen, namespace))
    if hasattr(cls, "__post_init__"):
        lines.append("self.__post_init__()")
    body = "\n    ".join(lines or ["pass"])
    exec(f"def __init__({', '.join(parameters)}):\n    {body}", namespace)
    init = namespace["__init__"]
    init.__qualname__ = f"{cls.__qualname__}.__init__"
    return init


def _make_assignment(cls, name, value, is_frozen, namespace):
    """Return the line of a constructor that sets a field."""
    if not is_frozen:
        return f"self.{name} = {value}"
    slot = getattr(cls, name, None)
    if not isinstance(slot, MemberDescriptorType):
        return f"_set(self, {name!r}, {value})"
    # Without a look-up of the name: messages are made for each piece of news.
    namespace[f"_set_{name}"] = slot.__set__
    return f"_set_{name}(self, {value})"


def _repr(self):
    pairs = ", ".join(f"{name}={getattr(self, name)!r}" for name in self.__match_args__)
    return f"{type(self).__qualname__}({pairs})"


def _eq(self, other):
    if other.__class__ is not self.__class__:
        return NotImplemented
    return self._get_values(self) == self._get_values(other)


def _hash(self):
    return hash(self._get_values(self))


def _reject_assignment(self, name, value):
    raise dataclasses.FrozenInstanceError(f"cannot assign to field {name!r}")


def _reject_deletion(self, name):
    raise dataclasses.FrozenInstanceError(f"cannot delete field {name!r}")
