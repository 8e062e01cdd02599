"""What every scenario starts from, and what ends with it."""

import gc
import logging
import warnings

#: What Python says of a coroutine that was made and never ran: a request,
#: say, that would never be answered.
NEVER_AWAITED = 'was never awaited'


def before_all(context):
    """Keep the output to behave's own."""
    logging.disable(logging.CRITICAL)
    context.never_awaited = []
    show = warnings.showwarning

    def record(message, *details, **fields):
        if NEVER_AWAITED in str(message):
            context.never_awaited.append(str(message))
        show(message, *details, **fields)

    warnings.showwarning = record
    warnings.filterwarnings('always', f'.*{NEVER_AWAITED}')


def after_feature(context, feature):
    """Fail where a coroutine was never awaited."""
    gc.collect()
    found = list(context.never_awaited)
    context.never_awaited.clear()
    assert not found, found


def before_scenario(context, scenario):
    """Give each scenario a place for what must end with it."""
    context.cleanups = []


def after_scenario(context, scenario):
    """Stop what the scenario started, the last one first."""
    for cleanup in reversed(context.cleanups):
        cleanup()
