/** `hemlockway-gate --settings FILE`: runs a gate, which accepts calls over HTTP. */

import { randomBytes } from 'node:crypto';
import * as E from 'fp-ts/Either';
import { hideBin } from 'yargs/helpers';
import yargs from 'yargs';
import { tryParseGateSettings, tryReadSettings } from '../config/settings';
import type { GateSettings } from '../config/settings';
import { createLogger } from '../observe/logger';
import { Metrics } from '../observe/metrics';
import { startProgram } from '../observe/program';
import { HttpClient } from '../rpc/httpClient';
import { HttpListener } from '../rpc/httpListener';
import { RpcClient } from '../rpc/rpcClient';
import { SuspendAwareClock } from '../types/clock';
import { GateCore } from './core';
import { GateShell } from './shell';

const TICK_MS = 100;
const INSTANCE_ID_BYTES = 6;
/**
 * Limit on the total size of buffered request bodies; further requests are refused while it is
 * reached.
 */
const MAX_BUFFERED_BYTES = 16_777_216;
/** Time for load balancers to see the failing health check before new connections are refused. */
const HEALTH_CHECK_GRACE_MS = 2_000;

async function run(settings: GateSettings): Promise<void> {
  const instance = `${settings.gateId}#${randomBytes(INSTANCE_ID_BYTES).toString('hex')}`;
  const logger = createLogger('hemlockway-gate', settings.gateId, settings.logLevel);
  const core = new GateCore(settings, instance);
  const clock = new SuspendAwareClock();
  const shell = new GateShell(core, {
    schedulers: new RpcClient(new HttpClient()),
    clock,
    logger,
    metrics: new Metrics(),
  });
  const { maxBodyBytes, bodyTimeoutMs } = settings;
  const limits = { maxBodyBytes, bodyTimeoutMs, maxBufferedBytes: MAX_BUFFERED_BYTES };
  const listener = new HttpListener(shell, limits);
  await listener.listen(settings.listen.host, settings.listen.port);
  logger.info({ instance }, 'started');
  let drainStartMs = Number.POSITIVE_INFINITY;
  const timer = setInterval(() => {
    shell.tick();
    const drainingMs = clock.nowMs() - drainStartMs;
    if (drainingMs < HEALTH_CHECK_GRACE_MS) return;
    const isOverdue = drainingMs >= settings.drainTimeoutMs;
    if (!isOverdue && !(core.isDrained && listener.openCount === 0)) return;
    clearInterval(timer);
    listener.stopAccepting();
    logger.info({}, 'stopped');
    setTimeout(() => process.exit(0), TICK_MS);
  }, TICK_MS);
  process.once('SIGTERM', () => {
    drainStartMs = clock.nowMs();
    shell.drain();
  });
}

const { settings: file } = yargs(hideBin(process.argv))
  .option('settings', { type: 'string', demandOption: true, describe: 'settings file (JSON)' })
  .strict()
  .parseSync();
const settings = tryReadSettings(file, tryParseGateSettings);
startProgram(
  'hemlockway-gate',
  settings.kind === 'error' ? E.left(settings.diagnostic.detail ?? '') : E.right(settings.value),
  run,
);
