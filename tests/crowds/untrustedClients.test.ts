/**
 * Guards against clients that bring a node down by what they make it hold. A real process with lowered limits meets
 * each crowd in turn; all crowds are in this file, so that they never run at the same time.
 */

import { mkdtempSync, readdirSync, readFileSync, rmSync } from 'node:fs';
import { request } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { build } from 'esbuild';
import { Fleet } from '../../bench/fleet/fleet';
import { NO_DEMAND } from '../../src/work/types';
import {
  HostileCrowd,
  IDLE,
  LARGE_CHUNKS,
  ONE_BYTE_CHUNKS,
  PIPELINED,
  TRAILERS,
} from '../support/hostileClients';

const TEST_TIMEOUT_MS = 120_000;
const ANSWER_TIMEOUT_MS = 60_000;
const ATTACK_TIMEOUT_MS = 8_000;
const SAMPLE_INTERVAL_MS = 50;
const RETRY_MS = 200;
const KB_PER_MB = 1_024;

/** Size of the machine of the node. Its process must stay within both figures. */
const MACHINE = { memoryMb: 190, maxDescriptors: 512 };

/** Leaves 90 MB beside the heap, as the deploy file does on the smallest machine (158 of 250 MB). */
const FLAGS = ['--max-old-space-size=100', '--max-semi-space-size=2'];

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}

/** Peak of the resident memory of a process, undefined when it has ended. */
function tryReadPeakMb(pid: number): number | undefined {
  try {
    const text = readFileSync(`/proc/${pid}/status`, 'utf8');
    const peakKb = /VmHWM:\s+(\d+)/.exec(text)?.[1];
    return peakKb === undefined ? undefined : Number(peakKb) / KB_PER_MB;
  } catch {
    return undefined;
  }
}

function countDescriptors(pid: number): number {
  try {
    return readdirSync(`/proc/${pid}/fd`).length;
  } catch {
    return 0;
  }
}

/** Follows a process for as long as it lives. */
class ProcessWatch {
  peakMb = 0;

  descriptorCount = 0;

  #timer: NodeJS.Timeout;

  constructor(pid: number) {
    this.#timer = setInterval(() => {
      this.peakMb = Math.max(this.peakMb, tryReadPeakMb(pid) ?? 0);
      this.descriptorCount = Math.max(this.descriptorCount, countDescriptors(pid));
    }, SAMPLE_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }
}

/** Submits over a new connection; resolves with the status, or 0 without a response. */
function submit(port: number, number: number): Promise<number> {
  const id = number.toString(16).padStart(16, '0');
  const body = { spec: 'text', steps: [{ count: 1, cpu: 1_000, 'mem-mb': 64, 'est-ms': 10 }] };
  return new Promise((resolve) => {
    const sent = request(
      {
        ...{ host: '127.0.0.1', port, method: 'POST', path: `/urgent/${id}`, agent: false },
        ...{ headers: { host: 'urgent.example', authorization: 'Bearer key-team-0' } },
        ...{ timeout: ANSWER_TIMEOUT_MS / 4 },
      },
      (response) => {
        response.resume();
        response.on('end', () => resolve(response.statusCode ?? 0));
        response.on('error', () => resolve(0));
      },
    );
    sent.on('timeout', () => sent.destroy());
    sent.on('error', () => resolve(0));
    sent.end(JSON.stringify(body));
  });
}

/** Submits until it is accepted, as callers do. */
async function submitUntilAccepted(port: number, number: number): Promise<number> {
  const endMs = performance.now() + ANSWER_TIMEOUT_MS;
  const attempt = async (): Promise<number> => {
    const status = await submit(port, number);
    if (status === 200 || performance.now() > endMs) return status;
    await sleep(RETRY_MS);
    return attempt();
  };
  return attempt();
}

describe('a node process', () => {
  let directory: string;
  let fleet: Fleet;

  beforeAll(async () => {
    directory = mkdtempSync(join(tmpdir(), 'hemlockway-clients-'));
    await build({
      ...{ entryPoints: ['platform/main.ts'], outfile: join(directory, 'node.js') },
      ...{ bundle: true, platform: 'node', target: 'node20', format: 'cjs', logLevel: 'warning' },
      external: ['dtrace-provider', 'mv', 'safe-json-stringify'],
    });
  });

  beforeEach(async () => {
    fleet = new Fleet(
      {
        ...{
          seed: 1,
          nodeCount: 1,
          targetCount: 1,
          directory,
          program: join(directory, 'node.js'),
        },
        node: { flags: FLAGS, settings: MACHINE },
      },
      {
        getKind: () => 'urgent',
        getDemand: () => NO_DEMAND,
        getTeam: () => 'team-0',
        getPlan: () => ({ workMs: 10, how: 'done', isGang: false }),
      },
    );
    await fleet.start();
  });

  afterEach(() => fleet.close());

  afterAll(() => rmSync(directory, { recursive: true, force: true }));

  test.each([
    ['chunks of one byte', ONE_BYTE_CHUNKS],
    ['large chunks', LARGE_CHUNKS],
    ['pipelined requests and unread responses', PIPELINED],
    ['trailers', TRAILERS],
    ['idle connections', IDLE],
  ])(
    'keeps within its machine and answers: %s',
    async (name, traffic) => {
      const [node] = fleet.nodes;
      if (node === undefined) throw new Error('no node');
      expect(await submitUntilAccepted(node.frontPort, 1)).toBe(200);
      const { pid = 0 } = node;
      const watch = new ProcessWatch(pid);
      const crowd = new HostileCrowd();
      await crowd.attack(traffic, node.frontPort, ATTACK_TIMEOUT_MS);
      const status = await submitUntilAccepted(node.frontPort, 2);
      watch.stop();
      crowd.close();
      const seen = {
        ...{ exitCount: node.exitCount, isSamePid: node.pid === pid, status },
        isWithinMemory: watch.peakMb < MACHINE.memoryMb,
        isWithinDescriptors: watch.descriptorCount < MACHINE.maxDescriptors,
      };
      process.stderr.write(
        `${name}: peak ${Math.round(watch.peakMb)} MB, ${watch.descriptorCount} descriptors, ` +
          `${node.exitCount} exits, status ${status}\n`,
      );
      expect(seen).toEqual({
        ...{ exitCount: 0, isSamePid: true, status: 200 },
        ...{ isWithinMemory: true, isWithinDescriptors: true },
      });
    },
    TEST_TIMEOUT_MS,
  );
});
