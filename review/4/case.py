"""A router that outlives the others keeps sending to a server that is gone.

Six routers in three zones.  Five of them are killed at the same moment and
started again after half a second, as the platform does.  While they are down
one server leaves: its entry is removed, and it serves on for some seconds.
The surviving router is in touch all the while.
"""

import asyncio
import os
import signal
import sys
import time

import rig as rigs

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ZONES = ['tudela-a'] * 2 + ['tudela-b'] * 3 + ['estella']
SURVIVOR = 'edge-tudela-b-3'
RESTART_S = 0.5
LEAVES_AFTER_S = 0.25
DRAIN_S = 2.0
# The server serves on for DrainMs and "a little longer (at times many
# seconds)" after its entry was removed.
SERVES_ON_S = 8.0
REQUEST_GAP_S = 0.05


async def call(rig, router, stop):
    """Send safe and unsafe requests in turn until a time."""
    client = rigs.Client(rig, router)
    number = 0
    while time.monotonic() < stop():
        number += 1
        kind = 'safe' if number % 2 else 'unsafe'
        body = b'' if kind == 'safe' else b'b' * 600
        await client.send(kind, body, 1500)
        await asyncio.sleep(REQUEST_GAP_S)
    await client.close()


async def kill_and_restart(router):
    router.signal(signal.SIGKILL)
    await router.process.wait()
    await asyncio.sleep(RESTART_S)
    await router.start()


async def play(rig):
    if not await rig.begin(ZONES, plain=4):
        return 2
    await asyncio.sleep(5.0)
    survivor = next(r for r in rig.routers if r.name == SURVIVOR)
    end = [float('inf')]
    calls = [
        asyncio.ensure_future(call(rig, survivor, lambda: end[0]))
        for _ in range(2)
    ]
    await asyncio.sleep(2.0)
    restarts = []
    if TROUBLE:
        for router in rig.routers:
            if router is not survivor:
                restarts.append(
                    asyncio.ensure_future(kill_and_restart(router))
                )
    await asyncio.sleep(LEAVES_AFTER_S)
    leaving = rig.servers[0]
    await rig.store.drop('servers', leaving.id)
    gone_at = time.monotonic()
    rig.record.add('removed', server=leaving.id, address=leaving.address)
    await asyncio.gather(*restarts)
    ready = await asyncio.gather(*(r.wait_ready() for r in rig.routers))
    rig.record.add('ready', routers=sum(ready))
    await asyncio.sleep(gone_at + SERVES_ON_S - time.monotonic())
    end[0] = 0.0
    await asyncio.gather(*calls)
    late = sorted(
        (at - gone_at, attempt)
        for attempt, runs in rig.runs.items()
        for at, server, *_ in runs
        if server == leaving.id and at - gone_at > DRAIN_S
    )
    for seconds, attempt in late:
        rig.record.add('late', id=attempt, after_s=round(seconds, 3))
    served = sum(a.status == 200 for a in rig.attempts.values())
    print(
        f'requests {len(rig.attempts)}, served {served}; at the server that '
        f'is gone, later than {DRAIN_S} s: {len(late)}'
    )
    if not all(ready) or served < 20:
        return 2
    return 1 if late else 0


async def main():
    rig = rigs.Rig(os.path.dirname(os.path.abspath(__file__)))
    try:
        return await play(rig)
    finally:
        await rig.finish()


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
