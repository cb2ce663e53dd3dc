/** A real node in a process of its own that becomes the owner, with the probe loaded. */

import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { SETTINGS_VARIABLE } from '../platform/settings';
import type { ProbeReading, ProbeReply, ProbeRequest } from './ownerProbe';
import type { ProfileShares } from './profileShares';

/** As in the deploy file. */
const NODE_FLAGS = ['--max-old-space-size=158', '--max-semi-space-size=2'];

const HOST = '127.0.0.1';

/** Capacity of the owner, above that of all other nodes. */
const PROCESSOR_SHARE = 2;

const MAX_LEASE_MS = 10_000;

/** Runs the program of a node. */
export class OwnerProcess {
  #child: ChildProcess;

  #directory = mkdtempSync(join(tmpdir(), 'hemlockway-owner-'));

  /** Address on which the node accepts connections of other nodes. */
  readonly peerAddress: string;

  /**
   * @param storeAddress - `ip:port` of the store
   * @param basePort - the first of two free ports
   */
  constructor(storeAddress: string, basePort: number) {
    const settings = {
      ...{ nodeId: 'owner', dataCentreId: 'zone', host: HOST, storeAddress, adviceAddress: null },
      ...{ frontAddress: `${HOST}:0`, readyAddress: `${HOST}:0` },
      ...{ peerPort: basePort, observePort: basePort + 1, stopGraceSeconds: 1 },
      ...{ targetMaxLeaseMs: MAX_LEASE_MS, processorShare: PROCESSOR_SHARE, processorSpeed: 1 },
    };
    const path = join(this.#directory, 'settings.json');
    writeFileSync(path, JSON.stringify(settings));
    this.peerAddress = `${HOST}:${basePort}`;
    const programs = ['--require', join(__dirname, 'owner-probe.js')];
    const args = [...NODE_FLAGS, ...programs, join(__dirname, 'hemlockway-node.js')];
    this.#child = spawn(process.execPath, args, {
      stdio: ['ignore', 'ignore', 'inherit', 'ipc'],
      env: { ...process.env, [SETTINGS_VARIABLE]: path },
    });
  }

  /** Reads the counters of the process. */
  async read(): Promise<ProbeReading> {
    const reply = await this.#ask('read');
    if (reply.kind !== 'reading') throw new Error(`unexpected answer ${reply.kind}`);
    return reply;
  }

  /** Starts a processor profile. */
  startProfile(): void {
    this.#child.send('startProfile' satisfies ProbeRequest);
  }

  /** Ends the profile and returns its times. */
  async stopProfile(): Promise<ProfileShares> {
    const reply = await this.#ask('stopProfile');
    if (reply.kind !== 'profile') throw new Error(`unexpected answer ${reply.kind}`);
    return reply;
  }

  /** Ends the process. */
  stop(): void {
    this.#child.kill('SIGKILL');
    rmSync(this.#directory, { recursive: true, force: true });
  }

  async #ask(request: ProbeRequest): Promise<ProbeReply> {
    this.#child.send(request);
    const [reply] = (await once(this.#child, 'message')) as [ProbeReply];
    return reply;
  }
}
