/** Processor time of log lines that are written, and of lines that are dropped before or after they are built. */

import { openSync } from 'node:fs';
import { Writable } from 'node:stream';
import { createLogger } from '../src/observe/logger';
import type { Logger } from '../src/observe/logger';
import { LogStream } from '../src/observe/logStream';
import type { Benchmark, Figure } from './types';

const ROUND_COUNT = 20;
const WARM_UP_ROUNDS = 5;

/** All lines of work that are written in one second. */
const WRITTEN_COUNT = 800;
const DROPPED_COUNT = 10_000;

const MICROS_PER_MS = 1_000;

function logRuns(logger: Logger, count: number): void {
  for (let index = 0; index < count; index += 1) {
    logger.info(
      {
        submissionId: '00000000000f4a1b',
        task: `00000000000f4a1b.0.0.${index}`,
        run: index,
        targetId: 'i-bc10b898c8',
        bornAtMs: 1_700_000_000_000,
        waitedMs: 12,
        freeCpuMillis: 4_000,
        epoch: 3,
      },
      'run started',
    );
  }
}

/** Processor time of this process while a function runs. */
function measureMs(act: () => void): number {
  const before = process.cpuUsage();
  act();
  const { user, system } = process.cpuUsage(before);
  return (user + system) / MICROS_PER_MS;
}

function getMedianMs(measure: () => number): number {
  const durationsMs: number[] = [];
  for (let round = 0; round < WARM_UP_ROUNDS + ROUND_COUNT; round += 1) {
    const durationMs = measure();
    if (round >= WARM_UP_ROUNDS) durationsMs.push(durationMs);
  }
  return durationsMs.sort((left, right) => left - right)[ROUND_COUNT / 2] ?? 0;
}

/** A stream that drops every line, which has then been built in vain. */
function createDiscardingStream(): Writable {
  return new Writable({
    decodeStrings: false,
    write: (_line, _encoding, callback) => callback(),
  });
}

function createFigures(fd: number): Figure[] {
  const toLogger = (stream: Writable) => createLogger('bench', 'node-1', 'info', stream);
  return [
    {
      name: `written ${WRITTEN_COUNT} lines`,
      value: getMedianMs(() => {
        const stream = new LogStream(fd);
        const logger = toLogger(stream);
        return measureMs(() => {
          logRuns(logger, WRITTEN_COUNT);
          stream.flush();
        });
      }),
      unit: 'ms',
    },
    {
      name: `refused ${DROPPED_COUNT} lines before they are built`,
      value: getMedianMs(() => {
        const logger = toLogger(new LogStream(fd));
        logRuns(logger, WRITTEN_COUNT);
        return measureMs(() => logRuns(logger, DROPPED_COUNT));
      }),
      unit: 'ms',
    },
    {
      name: `dropped ${DROPPED_COUNT} lines after they were built`,
      value: getMedianMs(() => {
        const logger = toLogger(createDiscardingStream());
        return measureMs(() => logRuns(logger, DROPPED_COUNT));
      }),
      unit: 'ms',
    },
  ];
}

export const logging: Benchmark = {
  name: 'logging',
  description: 'processor time of log lines, written and dropped',
  async run() {
    // Stays open, as the writes of the last round are still in progress; the process ends soon.
    return createFigures(openSync('/dev/null', 'w'));
  },
};
