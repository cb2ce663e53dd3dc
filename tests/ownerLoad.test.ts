/** The owner's load: what is measured, and when the log says that the owner is overloaded. */

import { PassThrough } from 'node:stream';
import { OwnerLoad } from '../src/node/ownerLoad';
import { createLogger } from '../src/observe/logger';
import { Metrics } from '../src/observe/metrics';
import { toEpoch } from '../src/types/ids';
import { createSubmission, NO_FAULTS, OwnerWorld } from './support/ownerWorld';

const TICK_INTERVAL_MS = 10;
const LOAD_MESSAGE = 'owner load';

interface Line {
  readonly msg: string;
  readonly usedMillis: number;
  readonly delayP99Ms: number;
  readonly callsInFlightCount: number;
  readonly readyStepCount: number;
}

/** An owner's load whose clocks the test sets. */
class LoadFixture {
  readonly metrics = new Metrics();

  nowMs = 1_000;

  #micros = 0;

  #activeMs = 0;

  #stream = new PassThrough();

  readonly load: OwnerLoad;

  constructor(processorMillis: number) {
    this.load = new OwnerLoad(
      {
        logger: createLogger('test', 'node-1', 'info', this.#stream),
        metrics: this.metrics,
        epoch: toEpoch(3),
        processorMillis,
        getBacklog: () => ({ callsInFlightCount: 7, readyStepCount: 5 }),
      },
      {
        nowMs: () => this.nowMs,
        processorMicros: () => this.#micros,
        activeMs: () => this.#activeMs,
        collectionMs: () => this.#activeMs / 10,
      },
    );
  }

  /** Runs for a second, of which the process uses a share of a core. */
  runSecond(coreShare: number, lateMs = 0): void {
    for (let passedMs = 0; passedMs < 1_000; passedMs += TICK_INTERVAL_MS + lateMs) {
      this.nowMs += TICK_INTERVAL_MS + lateMs;
      this.#micros += (TICK_INTERVAL_MS + lateMs) * coreShare * 1_000;
      this.#activeMs += (TICK_INTERVAL_MS + lateMs) * coreShare;
      this.load.onTick(TICK_INTERVAL_MS);
    }
  }

  #readAll(): readonly Line[] {
    const text = String(this.#stream.read() ?? '').trimEnd();
    return text === '' ? [] : text.split('\n').map((line) => JSON.parse(line) as Line);
  }

  /** Reads the lines that mark a change. */
  readLines(): readonly Line[] {
    return this.#readAll().filter(({ msg }) => msg !== LOAD_MESSAGE);
  }

  /** Reads the lines that come at intervals. */
  readLoadLines(): readonly Line[] {
    return this.#readAll().filter(({ msg }) => msg === LOAD_MESSAGE);
  }

  getCounter(name: string): number | undefined {
    return this.metrics.dump().counters.find((counter) => counter.name === name)?.value;
  }
}

test('one line when the owner passes its limit, and one when it falls below the lower one', () => {
  const fixture = new LoadFixture(500);
  fixture.runSecond(0.35);
  expect(fixture.readLines()).toEqual([]);
  fixture.runSecond(0.45, 30);
  const [line] = fixture.readLines();
  expect(line).toMatchObject({
    msg: 'owner overloaded; decisions and calls are late',
    ...{ processorMillis: 500, usedMillis: 450, delayP99Ms: 30, epoch: 3 },
    ...{ callsInFlightCount: 7, readyStepCount: 5 },
  });
  fixture.runSecond(0.5);
  fixture.runSecond(0.35);
  expect(fixture.readLines()).toEqual([]);
  fixture.runSecond(0.25);
  expect(fixture.readLines().map(({ msg }) => msg)).toEqual(['owner no longer overloaded']);
  fixture.runSecond(0.35);
  expect(fixture.readLines()).toEqual([]);
});

test('what the time goes to is logged each second while the owner is overloaded, and else each five', () => {
  const fixture = new LoadFixture(500);
  for (let second = 0; second < 5; second += 1) fixture.runSecond(0.2);
  expect(fixture.readLoadLines()).toHaveLength(1);
  fixture.load.beginWork();
  fixture.nowMs += 4;
  fixture.load.endWork('decide_tick');
  fixture.runSecond(0.45);
  fixture.runSecond(0.45);
  const lines = fixture.readLoadLines();
  expect(lines).toHaveLength(2);
  expect(lines[0]).toMatchObject({
    ...{ epoch: 3, processorMillis: 500, activeMs: 450, collectionMs: 45 },
    ...{ work: { decide_tick: { count: 1, ms: 4 } }, readyStepCount: 5, callsInFlightCount: 7 },
  });
  expect(lines[1]).toMatchObject({ usedMillis: 450, work: {} });
});

test('a larger machine does not help the one thread', () => {
  const fixture = new LoadFixture(4_000);
  fixture.runSecond(0.9);
  expect(fixture.readLines()).toHaveLength(1);
  expect(fixture.metrics.renderPage()).toContain('hemlockway_owner_processor_share 0.9\n');
});

test('the delay of the event loop is how late the tick is', () => {
  const fixture = new LoadFixture(1_000);
  fixture.runSecond(0.1, 40);
  const delay = fixture.metrics.dump().latencies.find(({ name }) => name === 'event_loop_delay');
  expect(delay?.count).toBeGreaterThan(15);
  expect(delay?.p50Ms).toBeGreaterThan(39);
  expect(delay?.p50Ms).toBeLessThan(41);
});

test('the time of the thread is counted by what it did', () => {
  const fixture = new LoadFixture(1_000);
  const { load } = fixture;
  load.beginWork();
  fixture.nowMs += 3;
  load.endWork('decide_tick');
  fixture.nowMs += 0.25;
  load.endWork('send');
  fixture.nowMs += 1;
  load.beginWork();
  fixture.nowMs += 2;
  load.endWork('decide_tick');
  expect(fixture.getCounter('owner_time_decide_tick_micros')).toBeUndefined();
  fixture.runSecond(0.5);
  expect(fixture.getCounter('owner_time_decide_tick_micros')).toBe(5_000);
  expect(fixture.getCounter('owner_time_send_micros')).toBe(250);
  expect(fixture.getCounter('owner_time_active_micros')).toBeGreaterThan(490_000);
});

test('the gauges of an ownership end with it', () => {
  const fixture = new LoadFixture(1_000);
  fixture.runSecond(0.5);
  expect(fixture.metrics.renderPage()).toContain('hemlockway_owner_ready_steps 5\n');
  fixture.load.stop();
  expect(fixture.metrics.renderPage()).toContain('hemlockway_owner_ready_steps 0\n');
});

test('the time to the first start is recorded once per submission', () => {
  const world = new OwnerWorld({ seed: 3, targetCount: 3, faults: NO_FAULTS });
  const waitsMs: number[] = [];
  world.onEffect = (_epoch, effect) => {
    if (effect.kind === 'record' && effect.name === 'first_start_wait')
      waitsMs.push(effect.durationMs);
  };
  world.takeOver();
  world.run(500);
  const submission = createSubmission(1, [{ taskCount: 3 }, { taskCount: 2, after: [0] }]);
  world.submit({ ...submission, acceptedAtMs: submission.acceptedAtMs + world.time.nowMs - 40 });
  world.run(10_000);
  expect(world.startCount).toBeGreaterThanOrEqual(5);
  expect(waitsMs).toHaveLength(1);
  expect(waitsMs[0]).toBeGreaterThanOrEqual(40);
  expect(waitsMs[0]).toBeLessThan(300);
});
