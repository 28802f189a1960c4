"""Tests of the project's own data classes against those of the standard library."""

import dataclasses

import pytest

from banyanshore.core.values import dataclass


@dataclass(frozen=True)
class Point:
    """A point."""

    x: int
    y: int = 2
    names: list = dataclasses.field(default_factory=list)


@dataclass(frozen=True)
class NamedPoint(Point):
    """A point with a name."""

    name: str = ""


@dataclass(frozen=True, slots=True)
class Slotted:
    """A value without ``__dict__``."""

    x: int = 1


@dataclass
class Counter:
    """A value that changes."""

    count: int = 0


def test_constructor_takes_positions_names_and_defaults():
    point = Point(1, names=["a"])
    assert (point.x, point.y, point.names) == (1, 2, ["a"])


def test_constructor_of_later_instances_checks_arguments():
    Point(1)
    with pytest.raises(TypeError):
        Point()
    with pytest.raises(TypeError):
        Point(1, z=3)


def test_constructor_of_the_first_instance_checks_arguments():
    @dataclass(frozen=True)
    class Fresh:
        """A class without instances."""

        x: int

    with pytest.raises(TypeError):
        Fresh()


def test_each_instance_gets_its_own_default_from_a_factory():
    assert Point(1).names is not Point(1).names


def test_equality_compares_values_and_class():
    assert Point(1) == Point(1, 2)
    assert Point(1) != Point(2)
    assert Point(1) != NamedPoint(1)
    assert Slotted(1) != Point(1)


def test_equal_values_have_equal_hashes():
    assert len({Slotted(1), Slotted(1), Slotted(2)}) == 2


def test_frozen_instances_reject_assignment_and_deletion():
    for item in (Point(1), NamedPoint(1), Slotted(1)):
        with pytest.raises(dataclasses.FrozenInstanceError):
            item.x = 2
        with pytest.raises(dataclasses.FrozenInstanceError):
            del item.x


def test_instances_that_change_have_no_hash():
    counter = Counter()
    counter.count += 1
    assert counter == Counter(1)
    with pytest.raises(TypeError):
        hash(counter)


def test_repr_names_class_and_fields():
    assert repr(NamedPoint(1, name="a")) == "NamedPoint(x=1, y=2, names=[], name='a')"


def test_subclass_is_constructed_before_and_after_its_base_class():
    @dataclass(frozen=True)
    class Base:
        """A base class."""

        x: int

    @dataclass(frozen=True)
    class Derived(Base):
        """A class with a further field."""

        y: int = 0

    assert Derived(1, 2).y == 2
    assert Base(1).x == 1
    assert Derived(1).y == 0


def test_functions_of_the_standard_library_accept_instances():
    assert dataclasses.is_dataclass(Point)
    assert dataclasses.replace(Point(1), y=3) == Point(1, 3)
    assert dataclasses.asdict(Slotted(4)) == {"x": 4}
    assert [field.name for field in dataclasses.fields(Point)] == ["x", "y", "names"]


def test_slotted_instances_have_no_dict():
    assert not hasattr(Slotted(), "__dict__")


def test_instances_match_by_position():
    match Point(1, 5):
        case Point(x, y):
            assert (x, y) == (1, 5)


def test_post_init_runs():
    @dataclass
    class Doubled:
        """A value that doubles itself."""

        x: int

        def __post_init__(self):
            self.x *= 2

    assert Doubled(2).x == 4


def test_options_of_fields_that_would_be_ignored_are_rejected():
    with pytest.raises(TypeError, match=r"Hidden\.x"):

        @dataclass(frozen=True)
        class Hidden:
            """A class with an option that isn't supported."""

            x: int = dataclasses.field(default=0, repr=False)
