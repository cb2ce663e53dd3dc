/**
 * Guards against clients that take more memory than the machine has, counted as the machine does: resident memory and
 * bytes that were received and not read. A real process with lowered limits meets each crowd in turn; files of this
 * folder run one at a time, after all other tests.
 */

import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { CrowdTraffic } from '../support/clientCrowd';
import { buildCrowdProgram, CrowdProcess } from '../support/crowdProcess';
import { buildNodeProgram, IDLE_FLEET, LoadedNode } from '../support/loadedNode';
import type { FleetLoad } from '../support/loadedNode';
import { buildWatchProgram, WatchProcess } from '../support/watchProcess';

const TEST_TIMEOUT_MS = 240_000;
const ATTACK_MS = 10_000;

/** Size of the machine of the node. Its process must stay within both figures. */
const MACHINE = { memoryMb: 190, maxDescriptors: 4_100 };

/** Leaves 90 MB beside the heap, nearly as the deploy file does on the smallest machine (158 of 250 MB). */
const FLAGS = ['--max-old-space-size=100', '--max-semi-space-size=2'];

/** Hands in as many tasks as run at the size to design for. */
const LOADED: FleetLoad = { targetCount: 120, submissionCount: 215, tasksPerSubmission: 20 };

/** The crowd comes once this many tasks run; the others are waiting or starting meanwhile. */
const MIN_RUN_COUNT = 500;

const BODY_BYTES = 262_000;
const MISSING_BYTES = 10;
const HEAD = [
  'POST /urgent/00000000000000ff HTTP/1.1',
  'Host: urgent.example',
  'Authorization: Bearer key-team-0',
  '',
].join('\r\n');
const CHUNKED_HEAD = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`;
const PIECES = { sizeBytes: 8_192, intervalMs: 40 };
const RETURNS = { reconnectDelayMs: 20 };

const COMPLETE = Buffer.from(
  `${HEAD}Content-Length: ${BODY_BYTES}\r\n\r\n${'a'.repeat(BODY_BYTES)}`,
);
const SHORT = COMPLETE.subarray(0, COMPLETE.length - MISSING_BYTES);
const ONE_CHUNK = Buffer.from(
  `${CHUNKED_HEAD}${BODY_BYTES.toString(16)}\r\n${'a'.repeat(BODY_BYTES - MISSING_BYTES)}`,
);
const ONE_BYTE_CHUNKS = Buffer.from(`${CHUNKED_HEAD}${'1\r\na\r\n'.repeat(100_000)}`);
const PIPELINED = Buffer.concat(Array.from({ length: 40 }, () => COMPLETE));
const TRAILERS = Buffer.from(`${CHUNKED_HEAD}2\r\n{}\r\n0\r\n${'a:\r\n'.repeat(60_000)}`);

const CROWDS: readonly (readonly [string, CrowdTraffic])[] = [
  ['whole short bodies', { connectionCount: 1_000, input: SHORT }],
  ['whole short bodies that return', { connectionCount: 400, input: SHORT, ...RETURNS }],
  ['many short bodies that return', { connectionCount: 2_500, input: SHORT, ...RETURNS }],
  ['complete bodies that return', { connectionCount: 1_000, input: COMPLETE, ...RETURNS }],
  ['pipelined bodies that return', { connectionCount: 300, input: PIPELINED, ...RETURNS }],
  ['large chunks that return', { connectionCount: 400, input: ONE_CHUNK, ...RETURNS }],
  ['one-byte chunks that return', { connectionCount: 400, input: ONE_BYTE_CHUNKS, ...RETURNS }],
  ['trailers that return', { connectionCount: 400, input: TRAILERS, ...RETURNS }],
  ['short bodies in pieces', { connectionCount: 400, input: SHORT, pieces: PIECES }],
  ['large chunks in pieces', { connectionCount: 400, input: ONE_CHUNK, pieces: PIECES }],
  ['one-byte chunks in pieces', { connectionCount: 400, input: ONE_BYTE_CHUNKS, pieces: PIECES }],
  ['trailers in pieces', { connectionCount: 400, input: TRAILERS, pieces: PIECES }],
];

/** Crowds of each kind for the node that owns a fleet. */
const CROWDS_OF_OWNER = CROWDS.filter(([name]) =>
  [
    'whole short bodies',
    'many short bodies that return',
    'complete bodies that return',
    'pipelined bodies that return',
    'one-byte chunks that return',
    'one-byte chunks in pieces',
  ].includes(name),
);

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}

describe('the memory of the machine suffices for', () => {
  let directory: string;
  let program: string;
  let crowdProgram: string;
  let node: LoadedNode;
  let watchProgram: string;
  let crowd: CrowdProcess | undefined;
  let watch: WatchProcess | undefined;

  beforeAll(async () => {
    directory = mkdtempSync(join(tmpdir(), 'hemlockway-crowds-'));
    program = await buildNodeProgram(directory);
    crowdProgram = await buildCrowdProgram(directory);
    watchProgram = await buildWatchProgram(directory);
  });

  afterEach(() => {
    node.close();
    crowd?.kill();
    watch?.kill();
  });

  afterAll(() => rmSync(directory, { recursive: true, force: true }));

  async function meet(name: string, traffic: CrowdTraffic, load: FleetLoad): Promise<void> {
    node = new LoadedNode(program, directory, { flags: FLAGS, settings: MACHINE }, load);
    await node.start(load === LOADED ? MIN_RUN_COUNT : 0);
    expect(await node.submitUntilAccepted()).toBe(200);
    const { pid = 0, port } = node;
    watch = new WatchProcess(watchProgram, pid, port);
    await watch.start();
    crowd = new CrowdProcess(crowdProgram, traffic, port);
    await crowd.start();
    await sleep(ATTACK_MS);
    const status = await node.submitUntilAccepted();
    const { startMb, residentMb, unreadMb, countedMb, descriptorCount } = await watch.stop();
    const openedCount = await crowd.close();
    const figures = [startMb, residentMb, unreadMb, countedMb].map(Math.round);
    process.stderr.write(
      `${name}, ${node.runCount} tasks: ${figures[0]} MB at the start, at most ${figures[1]} resident, ` +
        `${figures[2]} unread, ${figures[3]} together; ${descriptorCount} descriptors, ` +
        `${openedCount} connections, ${node.exitCount} exits, status ${status}\n`,
    );
    expect({
      ...{ exitCount: node.exitCount, isSamePid: node.pid === pid, status },
      isWithinMemory: countedMb < MACHINE.memoryMb,
      isWithinDescriptors: descriptorCount < MACHINE.maxDescriptors,
    }).toEqual({
      ...{ exitCount: 0, isSamePid: true, status: 200 },
      ...{ isWithinMemory: true, isWithinDescriptors: true },
    });
  }

  test.each(CROWDS)(
    'an idle node and %s',
    (name, traffic) => meet(name, traffic, IDLE_FLEET),
    TEST_TIMEOUT_MS,
  );

  test.each(CROWDS_OF_OWNER)(
    'the owner of a loaded fleet and %s',
    (name, traffic) => meet(name, traffic, LOADED),
    TEST_TIMEOUT_MS,
  );
});
