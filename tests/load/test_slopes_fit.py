"""Fits of measured points, their output files and the registry of scaling measurements."""

import pytest

from cassiaseam_load.slope_fit import TooFewSizesError, fit_all, fit_points
from cassiaseam_load.slope_output import draw_points, read_points, write_fits, write_points
from cassiaseam_load.slope_registry import MEASURES, Point, measure_role, measures_role
from cassiaseam_load.slopes import MODULES, load_measures


def make_points(values, sizes=(10, 20, 40), role='role', unit='bytes'):
    pairs = zip(sizes, values, strict=True)
    return [Point(role, 'quantity', size, value, unit) for size, value in pairs]


@pytest.fixture
def registry():
    before = dict(MEASURES)
    yield MEASURES
    MEASURES.clear()
    MEASURES.update(before)


@pytest.mark.parametrize(
    ('values', 'slope', 'intercept', 'largest_error'),
    [
        ((25, 45, 85), 2, 5, 0),
        ((7, 7, 7), 0, 7, 0),
        ((40, 30, 10), -1, 50, 0),
        ((10, 26, 40), 0.9571429, 3, 3.8571429),
    ],
)
def test_fit_returns_slope_intercept_and_largest_error(values, slope, intercept, largest_error):
    fit = fit_points(make_points(values))
    assert fit.slope == pytest.approx(slope)
    assert fit.intercept == pytest.approx(intercept)
    assert fit.largest_error == pytest.approx(largest_error)


@pytest.mark.parametrize('sizes', [(10,), (10, 20), (10, 10, 20)])
def test_fit_of_fewer_than_three_sizes_is_refused(sizes):
    with pytest.raises(TooFewSizesError):
        fit_points(make_points([1] * len(sizes), sizes))


def test_points_with_different_units_are_refused():
    points = make_points((1, 2, 3)) + make_points((4,), (80,), unit='ms')
    with pytest.raises(ValueError, match='units'):
        fit_points(points)


def test_quantities_of_different_roles_are_not_mixed():
    fits = fit_all(make_points((10, 20, 40), role='a') + make_points((20, 40, 80), role='b'))
    assert [(fit.role, round(fit.slope, 6)) for fit in fits] == [('a', 1), ('b', 2)]


def test_points_round_trip_through_csv(tmp_path):
    points = make_points((0.125, 1234567, 3), role='role, with "comma"')
    write_points(tmp_path / 'slopes.csv', points)
    text = (tmp_path / 'slopes.csv').read_text()
    assert text.startswith('role,quantity,size,value,unit\n')
    read = read_points(tmp_path / 'slopes.csv')
    assert [point.value for point in read] == [0.125, 1234570, 3]
    assert read[0] == points[0]


def test_file_with_other_columns_is_refused(tmp_path):
    (tmp_path / 'slopes.csv').write_text('role,size\nx,1\n')
    with pytest.raises(ValueError, match='header'):
        read_points(tmp_path / 'slopes.csv')


def test_fits_are_written_in_column_order(tmp_path):
    write_fits(tmp_path / 'fits.csv', fit_all(make_points((25, 45, 85))))
    lines = (tmp_path / 'fits.csv').read_text().splitlines()
    assert lines[1] == 'role,quantity,2,5,0,bytes'


def test_drawing_changes_only_with_the_points(tmp_path):
    names = ('first.svg', 'second.svg', 'other.svg')
    for name, last in zip(names, (85, 85, 90), strict=True):
        draw_points(tmp_path / name, make_points((25, 45, last)))
    first, second, other = ((tmp_path / name).read_bytes() for name in names)
    assert first == second
    assert first != other


def test_role_is_not_measured_twice(registry):
    @measures_role('tested role')
    def measure():
        yield from make_points((1, 2, 3))

    assert len(measure_role('tested role')) == 3
    with pytest.raises(ValueError, match='tested role'):
        measures_role('tested role')(lambda: [])


def test_unknown_role_is_an_error():
    with pytest.raises(KeyError):
        measure_role('no such role')


def test_every_module_registers_its_role():
    assert len(load_measures()) == len(MODULES)
