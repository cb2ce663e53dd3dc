/** Elapsed time under frequent readings, suspensions and a wall clock that is set. */

import { ElapsedClock } from '../src/types/clock';

/** Clocks that a test moves; the wall clock shows whole milliseconds, as that of the system. */
class FakeTime {
  monotonic = 0.25;

  wall = 1_700_000_000_000.6;

  /** Time that passes with each reading of the monotonic clock. */
  readMs = 0;

  monotonicMs(): number {
    this.pass(this.readMs);
    return this.monotonic;
  }

  wallMs(): number {
    return Math.floor(this.wall);
  }

  pass(durationMs: number): void {
    this.monotonic += durationMs;
    this.wall += durationMs;
  }

  suspend(durationMs: number): void {
    this.wall += durationMs;
  }
}

describe('elapsed time', () => {
  test('does not run faster the more often it is read', () => {
    const time = new FakeTime();
    const clock = new ElapsedClock(time);
    for (let count = 0; count < 10_000; count += 1) {
      time.pass(0.1);
      clock.nowMs();
    }
    expect(clock.nowMs()).toBeCloseTo(1_000, 3);
  });

  test('counts a suspension that stops the monotonic clock', () => {
    const time = new FakeTime();
    const clock = new ElapsedClock(time);
    time.pass(500);
    clock.nowMs();
    time.suspend(3_000);
    expect(clock.nowMs()).toBeGreaterThan(3_498);
    time.pass(500);
    expect(clock.nowMs()).toBeGreaterThan(3_998);
    expect(clock.nowMs()).toBeLessThan(4_002);
  });

  test('never goes back with the wall clock, and is not ahead when that is set right again', () => {
    const time = new FakeTime();
    const clock = new ElapsedClock(time);
    time.pass(500);
    time.wall -= 60_000;
    expect(clock.nowMs()).toBeCloseTo(500, 3);
    time.pass(500);
    expect(clock.nowMs()).toBeCloseTo(1_000, 3);
  });

  test('does not take a pause between its two readings for a suspension', () => {
    const time = new FakeTime();
    const clock = new ElapsedClock(time);
    time.readMs = 0.4;
    for (let count = 0; count < 100; count += 1) clock.nowMs();
    const { monotonic } = time;
    time.readMs = 0;
    expect(clock.nowMs()).toBeCloseTo(monotonic - 0.25, 3);
  });
});
