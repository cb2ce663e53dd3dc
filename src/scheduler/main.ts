/** `hemlockway-scheduler --settings FILE`: runs a scheduler, which starts work on its shards of targets. */

import { randomBytes } from 'node:crypto';
import * as E from 'fp-ts/Either';
import { hideBin } from 'yargs/helpers';
import yargs from 'yargs';
import { tryParseSchedulerSettings, tryReadSettings } from '../config/settings';
import type { SchedulerSettings } from '../config/settings';
import { createLogger } from '../observe/logger';
import { Metrics } from '../observe/metrics';
import { startProgram } from '../observe/program';
import { HttpPlatformClient } from '../platform/httpPlatformClient';
import { HttpClient } from '../rpc/httpClient';
import { HttpListener } from '../rpc/httpListener';
import { RpcClient } from '../rpc/rpcClient';
import { createRpcHandler } from '../rpc/rpcServer';
import { HttpTargetClient } from '../target/httpTargetClient';
import { SuspendAwareClock } from '../types/clock';
import { toMemberId } from '../types/ids';
import { SchedulerCore } from './core';
import { SchedulerShell } from './shell';

const TICK_INTERVAL_MS = 100;
const INCARNATION_ID_BYTES = 6;
const MAX_BODY_BYTES = 4_194_304;
const BODY_TIMEOUT_MS = 10_000;
const MAX_BUFFERED_BYTES = 33_554_432;

async function run(settings: SchedulerSettings): Promise<void> {
  const incarnationId = randomBytes(INCARNATION_ID_BYTES).toString('hex');
  const memberId = toMemberId(settings.schedulerId, incarnationId);
  const logger = createLogger('hemlockway-scheduler', settings.schedulerId, settings.logLevel);
  const metrics = new Metrics();
  const httpClient = new HttpClient();
  const clock = new SuspendAwareClock();
  const core = new SchedulerCore(memberId, settings);
  const shell = new SchedulerShell(core, settings, {
    platform: new HttpPlatformClient(httpClient, settings.platformAddress),
    targets: new HttpTargetClient(httpClient),
    peers: new RpcClient(httpClient),
    clock,
    logger,
    metrics,
  });
  const handler = createRpcHandler(
    (call) => shell.answer(call),
    () => ({ status: 200, contentType: 'text/plain; version=0.0.4', body: metrics.renderPage() }),
  );
  const listener = new HttpListener(handler, {
    maxBodyBytes: MAX_BODY_BYTES,
    bodyTimeoutMs: BODY_TIMEOUT_MS,
    maxBufferedBytes: MAX_BUFFERED_BYTES,
  });
  await listener.listen(settings.listen.host, settings.listen.port);
  logger.info({ memberId, address: settings.advertisedAddress }, 'started');
  let drainDeadlineMs = Number.POSITIVE_INFINITY;
  const timer = setInterval(() => {
    shell.tick();
    if (!core.isDrained && clock.nowMs() < drainDeadlineMs) return;
    clearInterval(timer);
    listener.stopAccepting();
    logger.info({}, 'stopped');
    setTimeout(() => process.exit(0), TICK_INTERVAL_MS);
  }, TICK_INTERVAL_MS);
  process.once('SIGTERM', () => {
    drainDeadlineMs = clock.nowMs() + settings.drainTimeoutMs;
    shell.drain();
  });
}

const { settings: file } = yargs(hideBin(process.argv))
  .option('settings', { type: 'string', demandOption: true, describe: 'settings file (JSON)' })
  .strict()
  .parseSync();
const settings = tryReadSettings(file, tryParseSchedulerSettings);
startProgram(
  'hemlockway-scheduler',
  settings.kind === 'error' ? E.left(settings.diagnostic.detail ?? '') : E.right(settings.value),
  run,
);
