/**
 * Guards against clients that bring a node down by what they make it hold. A real process with lowered limits meets
 * each crowd in turn; all crowds are in this file, so that they never run at the same time.
 */

import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import {
  HostileCrowd,
  IDLE,
  LARGE_CHUNKS,
  ONE_BYTE_CHUNKS,
  PIPELINED,
  TRAILERS,
} from '../support/hostileClients';
import { buildNodeProgram, IDLE_FLEET, LoadedNode } from '../support/loadedNode';
import { buildWatchProgram, WatchProcess } from '../support/watchProcess';

const TEST_TIMEOUT_MS = 120_000;
const ATTACK_TIMEOUT_MS = 8_000;

/** Size of the machine of the node. Its process must stay within both figures. */
const MACHINE = { memoryMb: 190, maxDescriptors: 512 };

/** Leaves 90 MB beside the heap, as the deploy file does on the smallest machine (158 of 250 MB). */
const FLAGS = ['--max-old-space-size=100', '--max-semi-space-size=2'];

describe('a node process', () => {
  let directory: string;
  let program: string;
  let watchProgram: string;
  let node: LoadedNode;
  let watch: WatchProcess | undefined;

  beforeAll(async () => {
    directory = mkdtempSync(join(tmpdir(), 'hemlockway-clients-'));
    program = await buildNodeProgram(directory);
    watchProgram = await buildWatchProgram(directory);
  });

  beforeEach(async () => {
    node = new LoadedNode(program, directory, { flags: FLAGS, settings: MACHINE }, IDLE_FLEET);
    await node.start(0);
  });

  afterEach(() => {
    node.close();
    watch?.kill();
  });

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
      expect(await node.submitUntilAccepted()).toBe(200);
      const { pid = 0, port } = node;
      watch = new WatchProcess(watchProgram, pid, port);
      await watch.start();
      const crowd = new HostileCrowd();
      await crowd.attack(traffic, port, ATTACK_TIMEOUT_MS);
      const status = await node.submitUntilAccepted();
      const { countedMb, descriptorCount } = await watch.stop();
      crowd.close();
      const seen = {
        ...{ exitCount: node.exitCount, isSamePid: node.pid === pid, status },
        isWithinMemory: countedMb < MACHINE.memoryMb,
        isWithinDescriptors: descriptorCount < MACHINE.maxDescriptors,
      };
      process.stderr.write(
        `${name}: ${Math.round(countedMb)} MB resident and unread, ${descriptorCount} descriptors, ` +
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
