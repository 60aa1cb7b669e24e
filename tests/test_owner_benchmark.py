from cassiaseam_load import owner_benchmark


def test_benchmark_measures_requests_that_are_answered(monkeypatch):
    monkeypatch.setattr(owner_benchmark, 'CYCLES', 20)
    assert owner_benchmark.measure_owner_events(3) > 0
