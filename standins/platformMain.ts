/** Entry point of `standin-platform HOST PORT`, which serves a fake platform over HTTP. */

import { setTimeout as sleep } from 'node:timers/promises';
import type { PlatformCall, Vm } from '../src/platform/types';
import { createJsonResponse, listenJson } from './httpServer';
import { FakePlatform } from './fakePlatform';
import type { PlatformFaults } from './fakePlatform';

const platform = new FakePlatform();

async function handle(path: string, value: unknown) {
  switch (path) {
    case '/control/faults':
      platform.setFaults(value as Partial<PlatformFaults>);
      return createJsonResponse({});
    case '/control/vms':
      platform.setVms(value as readonly Vm[]);
      return createJsonResponse({});
    case '/control/counts':
      return createJsonResponse(platform.counts);
    default: {
      const { delayMs } = platform.faults;
      if (delayMs > 0) await sleep(delayMs);
      const result = platform.perform(value as PlatformCall, Date.now());
      return createJsonResponse(result, result.kind === 'unavailable' ? 503 : 200);
    }
  }
}

const [host = '127.0.0.1', port = '7000'] = process.argv.slice(2);
listenJson(host, Number(port), handle).catch((error: unknown) => {
  process.stderr.write(`${String(error)}\n`);
  process.exitCode = 1;
});
