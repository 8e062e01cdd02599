"""What every scenario starts from, and what ends with it."""

import logging


def before_all(context):
    """Keep the output to behave's own."""
    logging.disable(logging.CRITICAL)


def before_scenario(context, scenario):
    """Give each scenario a place for what must end with it."""
    context.cleanups = []


def after_scenario(context, scenario):
    """Stop what the scenario started, the last one first."""
    for cleanup in reversed(context.cleanups):
        cleanup()
