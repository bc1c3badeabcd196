"""A router whose readers are lost serves a key that was taken away.

Six routers in three zones.  Three configurations come 0.33 s after each
other; just before the last one, which takes a key away, five of the routers
lose power for 3.5 s.  The sixth one is in touch all the while: no disruption
meets its machine, its links or the store.  Eight rounds.
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
ROUNDS = 8
POWER_OFF_S = 3.5
STORM_GAP_S = 0.33
LOST_BEFORE_S = 0.03
CONFIG_S = 2.0
WATCHED_S = 4.5
CALM_S = 4.0
REQUEST_GAP_S = 0.03


def keys(first):
    """Return the keys in force from a round on."""
    return [rigs.KEY, *(f'key{n}' for n in range(first, ROUNDS))]


async def set_keys(rig, first):
    tenants = [
        {'Name': rigs.TENANT, 'ApiKeys': keys(first), 'Priority': 1}
    ]
    config = rig.config(Tenants=tenants)
    await rig.store.put('op', 'config', config)
    rig.record.add('config', version=config['Version'], keys=keys(first))


async def lose(router):
    router.signal(signal.SIGKILL)
    await router.process.wait()
    await asyncio.sleep(POWER_OFF_S)
    await router.start()


async def call(rig, router, key, until):
    """Send requests with a key until a time."""
    client = rigs.Client(rig, router)
    sent = []
    while time.monotonic() < until:
        sent.append(await client.send('unsafe', b'b' * 600, 1500, key=key))
        await asyncio.sleep(REQUEST_GAP_S)
    await client.close()
    return sent


async def play_round(rig, survivor, number):
    """Return the requests that were run too late."""
    began = time.monotonic()
    calls = asyncio.ensure_future(
        call(rig, survivor, f'key{number}', began + WATCHED_S)
    )
    for _ in range(2):
        await set_keys(rig, number)
        await asyncio.sleep(STORM_GAP_S - LOST_BEFORE_S / 2)
    lost = []
    if TROUBLE:
        lost = [
            asyncio.ensure_future(lose(r))
            for r in rig.routers
            if r is not survivor
        ]
    await asyncio.sleep(LOST_BEFORE_S)
    await set_keys(rig, number + 1)
    acked_at = time.monotonic()
    sent = await calls
    await asyncio.gather(*lost)
    ready = await asyncio.gather(*(r.wait_ready() for r in rig.routers))
    if not all(ready):
        return None
    await asyncio.sleep(CALM_S)
    late = [
        a for a in sent
        if a.sent_at - acked_at > CONFIG_S and a.id in rig.runs
    ]
    for each in late:
        rig.record.add(
            'late', id=each.id, after_s=round(each.sent_at - acked_at, 3)
        )
    longest = max((a.sent_at - acked_at for a in late), default=0.0)
    print(
        f'round {number}: {len(sent)} requests with the key, run though sent '
        f'later than {CONFIG_S} s: {len(late)}, last {longest:.2f} s'
    )
    return late


async def play(rig):
    config = rig.config
    first = [{'Name': rigs.TENANT, 'ApiKeys': keys(0), 'Priority': 1}]
    rig.config = lambda **more: config(**{'Tenants': first, **more})
    if not await rig.begin(ZONES, plain=3):
        return 2
    survivor = next(r for r in rig.routers if r.name == SURVIVOR)
    await asyncio.sleep(CALM_S)
    late = []
    for number in range(ROUNDS):
        found = await play_round(rig, survivor, number)
        if found is None:
            return 2
        late += found
    return 1 if late else 0


async def main():
    rig = rigs.Rig(os.path.dirname(os.path.abspath(__file__)))
    try:
        return await play(rig)
    finally:
        await rig.finish()


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
