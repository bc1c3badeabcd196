"""A stream that may not be resumed is cut for a pause while a router drains."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

import deployment  # noqa: E402
import platform_standin  # noqa: E402

STREAMS = 16
EVENTS = 60
ENGINES = 2
# Requests for which an engine has memory in this case, and how long a
# preempted one waits; clients leave only after a gap of two seconds.
ROOM = 4
PAUSE_SECONDS = 1.3
TERM_AT = 0.6
GRACE_S = 8


async def stream(site, router, start_in, results):
    await asyncio.sleep(start_in)
    request_id = site.new_id()
    headers = site.stream_headers(request_id, 2 * EVENTS)
    channel = await router.channel().open(2.0)
    site.record.write('sent', request_id)
    started = time.monotonic()
    events = []
    channel.send('POST', '/draft/x', headers, b'prompt')
    answer = await channel.receive(25.0, events.append)
    channel.close()
    if answer is None:
        end = 'closed without an answer'
    elif answer.status != 200:
        end = str(answer.status)
    else:
        end = 'whole' if answer.complete else 'cut'
    results.append((request_id, end, time.monotonic() - started))
    site.record.write(
        'answered', request_id, end=end.replace(' ', '_'),
        bytes=sum(map(len, events)),
        ms=round((time.monotonic() - started) * 1000),
    )


async def case(site, trouble):
    await site.start_store()
    engines = []
    for number in range(ENGINES):
        engine = platform_standin.Engine(
            site, f'engine-{number}', deployment.MODEL_SERVICE, 'a', 'h100',
            slots=16)
        engine.room = ROOM
        engine.pause_seconds = PAUSE_SECONDS
        engines.append(await site.add(engine))
    site.configure([
        deployment.route('draft', 'streaming', deployment.MODEL_SERVICE,
                         20000, 500, Resumable=False),
    ])
    router = site.start_router('edge-a-1', GraceS=GRACE_S)
    await router.wait_ready()
    await site.wait_for(lambda: all(e.layers for e in engines), 'layers')
    await asyncio.sleep(3.0)
    results = []
    tasks = [
        asyncio.ensure_future(stream(site, router, 0.05 * number, results))
        for number in range(STREAMS)
    ]
    await asyncio.sleep(TERM_AT)
    if trouble:
        router.signal(signal.SIGTERM)
        site.record.say('SIGTERM is sent to the router')
    await asyncio.gather(*tasks)
    ends = [end for _, end, _ in results]
    site.record.say(f'ends: { {e: ends.count(e) for e in sorted(set(ends))} }')
    preempted = [r for r, _, _ in results if site.saw(r, 'preempted')]
    cut = [
        (request_id, seconds)
        for request_id, end, seconds in results
        if end in ('cut', 'closed without an answer')
        and site.saw(request_id, 'arrived')
    ]
    longest = max((seconds for _, seconds in cut), default=0.0)
    site.record.say(
        f'{len(preempted)} streams were preempted for {PAUSE_SECONDS} s; '
        f'{len(cut)} channels ended without a complete answer, the last one '
        f'{longest:.1f} s after its request, all cut by the router'
    )
    if not trouble:
        site.record.say('no planned work: the rule does not count these')
        return deployment.HELD
    return deployment.BROKEN if cut else deployment.HELD


if __name__ == '__main__':
    sys.exit(deployment.play(case, FOLDER / 'record.txt'))
