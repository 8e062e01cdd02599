"""Shutdown of event loops that run in separate threads."""

import asyncio

__all__ = ['finish_loop']


def finish_loop(loop: asyncio.AbstractEventLoop) -> None:
    """Cancel the remaining tasks of a stopped loop and close the loop.

    A request that arrives in the last iteration of the loop creates a task
    that has not started.  Without one more iteration its coroutine is never
    awaited, and Python issues a warning.  Sockets that still listen may accept
    a connection in that iteration, too.

    Parameters
    ----------
    loop : AbstractEventLoop
        Stopped loop whose thread has ended.
    """
    while tasks := asyncio.all_tasks(loop):
        for task in tasks:
            task.cancel()
        loop.run_until_complete(_await_all(tasks))
    loop.close()


async def _await_all(tasks: set[asyncio.Task]) -> None:
    await asyncio.gather(*tasks, return_exceptions=True)
