from hypothesis import settings

# The same examples on every run, without limits on wall-clock time.
settings.register_profile('fixed', derandomize=True, deadline=None)
settings.load_profile('fixed')
