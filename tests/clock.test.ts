/** Elapsed time under frequent readings, suspensions and changes of the wall clock. */

import { SuspendAwareClock } from '../src/types/clock';

/** Manually advanced clocks. The wall clock has a resolution of 1 ms, like that of the system. */
class FakeTime {
  monotonic = 0.25;

  wall = 1_700_000_000_000.6;

  /** Duration of each reading of the monotonic clock. */
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
  test('does not gain time from frequent readings', () => {
    const time = new FakeTime();
    const clock = new SuspendAwareClock(time);
    for (let count = 0; count < 10_000; count += 1) {
      time.pass(0.1);
      clock.nowMs();
    }
    expect(clock.nowMs()).toBeCloseTo(1_000, 3);
  });

  test('counts a suspension that stops the monotonic clock', () => {
    const time = new FakeTime();
    const clock = new SuspendAwareClock(time);
    time.pass(500);
    clock.nowMs();
    time.suspend(3_000);
    expect(clock.nowMs()).toBeGreaterThan(3_498);
    time.pass(500);
    expect(clock.nowMs()).toBeGreaterThan(3_998);
    expect(clock.nowMs()).toBeLessThan(4_002);
  });

  test('does not go back when the wall clock is set back, and continues at the normal rate', () => {
    const time = new FakeTime();
    const clock = new SuspendAwareClock(time);
    time.pass(500);
    time.wall -= 60_000;
    expect(clock.nowMs()).toBeCloseTo(500, 3);
    time.pass(500);
    expect(clock.nowMs()).toBeCloseTo(1_000, 3);
  });

  test('does not count a pause between its two readings as a suspension', () => {
    const time = new FakeTime();
    const clock = new SuspendAwareClock(time);
    time.readMs = 0.4;
    for (let count = 0; count < 100; count += 1) clock.nowMs();
    const { monotonic } = time;
    time.readMs = 0;
    expect(clock.nowMs()).toBeCloseTo(monotonic - 0.25, 3);
  });
});
