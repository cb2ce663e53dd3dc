/** Which log lines are written when more are logged than may be written. */

import { closeSync, mkdtempSync, openSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { LogBudget } from '../src/observe/logBudget';
import { createLogger } from '../src/observe/logger';
import type { Logger } from '../src/observe/logger';
import { LogStream } from '../src/observe/logStream';

/** More lines of one message than are written in a second. */
const FLOOD_COUNT = 1_500;

/** Time after which the report of dropped lines has been written to the file. */
const REPORT_MS = 1_300;

interface Line {
  readonly msg: string;
  readonly count?: number;
  readonly countByMessage?: Readonly<Record<string, number>>;
}

const directory = mkdtempSync(join(tmpdir(), 'hemlockway-log-'));

afterAll(() => rmSync(directory, { recursive: true }));

/** Logs to a file and returns the lines in it once a report of dropped lines is due. */
async function collectLines(
  name: string,
  log: (logger: Logger) => void,
): Promise<{ readonly lines: readonly Line[]; readonly droppedCount: number }> {
  const file = join(directory, name);
  const fd = openSync(file, 'w');
  const stream = new LogStream(fd);
  log(createLogger('test', 'node-1', 'info', stream));
  await new Promise((resolve) => {
    setTimeout(resolve, REPORT_MS);
  });
  closeSync(fd);
  const texts = readFileSync(file, 'utf8').trimEnd().split('\n');
  return {
    lines: texts.map((text) => JSON.parse(text) as Line),
    droppedCount: stream.droppedCount,
  };
}

function forEachOfFlood(act: (index: number) => void): void {
  for (let index = 0; index < FLOOD_COUNT; index += 1) act(index);
}

test('a change of state is written although lines of runs have used up their share', async () => {
  const { lines, droppedCount } = await collectLines('change', (logger) => {
    forEachOfFlood((run) => logger.info({ run }, 'run started'));
    logger.info({}, 'takeover loaded');
  });
  expect(lines.filter(({ msg }) => msg === 'takeover loaded')).toHaveLength(1);
  const startedCount = lines.filter(({ msg }) => msg === 'run started').length;
  expect(startedCount).toBe(800);
  expect(droppedCount).toBe(FLOOD_COUNT - startedCount);
});

test('one line reports the dropped lines by message', async () => {
  const { lines } = await collectLines('report', (logger) => {
    forEachOfFlood((run) => {
      logger.info({ run }, 'run started');
      logger.info({ run }, 'run ended');
    });
  });
  const reports = lines.filter(({ msg }) => msg === 'log lines dropped');
  expect(reports).toHaveLength(1);
  const { count, countByMessage } = reports[0] ?? {};
  expect(count).toBe(2 * FLOOD_COUNT - 800);
  expect(countByMessage).toEqual({
    'run started': FLOOD_COUNT - 400,
    'run ended': FLOOD_COUNT - 400,
  });
});

test('nothing is reported while no line is dropped', async () => {
  const { lines } = await collectLines('quiet', (logger) => logger.info({}, 'started'));
  expect(lines.map(({ msg }) => msg)).toEqual(['started']);
});

test('a line that is dropped is not built', async () => {
  let builtCount = 0;
  const field = {
    toJSON: () => {
      builtCount += 1;
      return builtCount;
    },
  };
  await collectLines('built', (logger) =>
    forEachOfFlood(() => logger.info({ field }, 'run started')),
  );
  expect(builtCount).toBe(800);
});

describe('the budget of a second', () => {
  const takeMany = (budget: LogBudget, message: string, count: number, nowMs = 0) => {
    let takenCount = 0;
    for (let index = 0; index < count; index += 1)
      if (budget.tryTake('info', message, nowMs, 0)) takenCount += 1;
    return takenCount;
  };

  test('a change that comes by the hundred pushes out no other change', () => {
    const budget = new LogBudget();
    expect(takeMany(budget, 'run started', FLOOD_COUNT)).toBe(800);
    expect(takeMany(budget, 'target does not answer', FLOOD_COUNT)).toBe(100);
    expect(takeMany(budget, 'runs lost with their target', FLOOD_COUNT)).toBe(100);
    expect(takeMany(budget, 'target gone', FLOOD_COUNT)).toBe(5);
    expect(takeMany(budget, 'takeover loaded', 1)).toBe(1);
  });

  test('lines of work get what changes leave of it', () => {
    const budget = new LogBudget();
    expect(takeMany(budget, 'target registered', 400)).toBe(100);
    expect(takeMany(budget, 'run started', FLOOD_COUNT)).toBe(700);
  });

  test('it is bounded for any number of messages', () => {
    const budget = new LogBudget();
    let takenCount = 0;
    forEachOfFlood((index) => {
      takenCount += takeMany(budget, `message ${index}`, 150);
    });
    expect(takenCount).toBeLessThan(2_100);
    expect(Object.keys(budget.takeDropped()?.countByMessage ?? {}).length).toBeLessThan(202);
  });

  test('it is renewed after a second, also when the clock is set back', () => {
    const budget = new LogBudget();
    expect(takeMany(budget, 'run started', FLOOD_COUNT, 10_000)).toBe(800);
    expect(takeMany(budget, 'run started', FLOOD_COUNT, 10_999)).toBe(0);
    expect(takeMany(budget, 'run started', FLOOD_COUNT, 11_000)).toBe(800);
    expect(takeMany(budget, 'run started', FLOOD_COUNT, 5_000)).toBe(800);
  });

  test('a warning or error counts as a change of state whatever its message', () => {
    const budget = new LogBudget();
    takeMany(budget, 'run started', FLOOD_COUNT);
    expect(budget.tryTake('warn', 'run started', 0, 0)).toBe(true);
  });

  test('while the reader is slow, the last part of the buffer is kept for changes of state', () => {
    const budget = new LogBudget();
    const pendingBytes = 800_000;
    expect(budget.tryTake('info', 'run started', 0, pendingBytes)).toBe(false);
    expect(budget.tryTake('info', 'store lost', 0, pendingBytes)).toBe(true);
    expect(budget.tryTake('info', 'store lost', 0, 1_048_576)).toBe(false);
    expect(budget.droppedCount).toBe(2);
    expect(budget.droppedChangeCount).toBe(1);
  });
});
