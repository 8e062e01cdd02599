"""Ends event loops that ran in threads of their own."""

import asyncio

__all__ = ['finish_loop']


def finish_loop(loop: asyncio.AbstractEventLoop) -> None:
    """Cancel what is left in a stopped loop, and close it.

    A request that arrives in the last turn of the loop makes a task that has
    not begun; without one more turn its coroutine is never awaited, which
    Python warns of.

    Parameters
    ----------
    loop : AbstractEventLoop
        Stopped; its thread has ended.
    """
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    loop.run_until_complete(_await_all(tasks))
    loop.close()


async def _await_all(tasks: set[asyncio.Task]) -> None:
    await asyncio.gather(*tasks, return_exceptions=True)
