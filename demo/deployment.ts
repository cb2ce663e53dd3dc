/** Starts and stops the processes of a small deployment on the loopback interface. */

import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { mkdtempSync, openSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { HttpClient } from '../src/rpc/httpClient';
import type { Vm } from '../src/platform/types';
import type { DataCentreId, VmId } from '../src/types/ids';
import type { ResourceVector } from '../src/types/resources';
import { getDigest } from '../src/config/keys';

/** Address on which all processes listen. */
export const HOST = '127.0.0.1';
const STOP_GRACE_MS = 500;
const CALL_TIMEOUT_MS = 5_000;

/** Targets of one data centre. */
export interface TargetGroup {
  readonly dataCentreId: string;
  readonly count: number;
  readonly targetsPerRack: number;
}

/** Size and addresses of a deployment. */
export interface DeploymentOptions {
  readonly basePort: number;
  readonly memberCount: number;
  readonly groups: readonly TargetGroup[];
  readonly capacity: ResourceVector;
  readonly operatorToken: string;
}

/** The processes of one deployment, with their settings and logs in a temporary directory. */
export class Deployment {
  #options: DeploymentOptions;

  #directory = mkdtempSync(join(tmpdir(), 'hemlockway-demo-'));

  #childProcesses = new Map<string, ChildProcess>();

  #httpClient = new HttpClient();

  /**
   * @param options - size and addresses of the deployment
   */
  constructor(options: DeploymentOptions) {
    this.#options = options;
  }

  /** HTTP client shared by control calls and generated load. */
  get httpClient(): HttpClient {
    return this.#httpClient;
  }

  /** Address of the platform stand-in. */
  get platformAddress(): string {
    return `${HOST}:${this.#options.basePort}`;
  }

  /** Addresses of the gates. */
  get gateAddresses(): readonly string[] {
    return Array.from({ length: this.#options.memberCount }, (_, index) =>
      this.#getGateAddress(index),
    );
  }

  /** Addresses of the targets. */
  get targetAddresses(): readonly string[] {
    return this.#getVms().map((vm) => vm.address);
  }

  /** Starts all processes and sends the VM list to the platform stand-in. */
  async start(): Promise<void> {
    const { basePort, groups, capacity, memberCount } = this.#options;
    this.#spawn('platform', 'standin-platform', [HOST, String(basePort)]);
    const targetCount = groups.reduce((sum, group) => sum + group.count, 0);
    const firstPort = String(this.#getTargetPort(0));
    this.#spawn('targets', 'standin-target', [
      HOST,
      firstPort,
      String(targetCount),
      JSON.stringify(capacity),
    ]);
    await this.#waitFor(this.platformAddress, '/control/counts');
    await this.post(this.platformAddress, '/control/vms', this.#getVms());
    Array.from({ length: memberCount }, (_, index) => index).forEach((index) => {
      this.startScheduler(index);
      this.startGate(index);
    });
    await Promise.all(this.gateAddresses.map((address) => this.#waitFor(address, '/metrics')));
  }

  /**
   * Starts one scheduler.
   * @param index - index of the scheduler
   */
  startScheduler(index: number): void {
    const address = this.#getSchedulerAddress(index);
    const settings = {
      schedulerId: `scheduler-${index}`,
      vmId: `entry-${index}`,
      dataCentreId: this.#getDataCentreId(index),
      region: 'west',
      listen: { host: HOST, port: Number(address.split(':')[1]) },
      advertisedAddress: address,
      platformAddress: this.platformAddress,
    };
    this.#spawnWithSettings(`scheduler-${index}`, 'hemlockway-scheduler', settings);
  }

  /**
   * Starts one gate.
   * @param index - index of the gate
   */
  startGate(index: number): void {
    const { memberCount, operatorToken } = this.#options;
    const schedulerIndexes = Array.from(
      { length: memberCount },
      (_, offset) => (index + offset) % memberCount,
    );
    const settings = {
      gateId: `gate-${index}`,
      dataCentreId: this.#getDataCentreId(index),
      listen: { host: HOST, port: Number(this.#getGateAddress(index).split(':')[1]) },
      schedulerAddresses: schedulerIndexes.map((schedulerIndex) =>
        this.#getSchedulerAddress(schedulerIndex),
      ),
      operatorTokenDigest: getDigest(operatorToken),
    };
    this.#spawnWithSettings(`gate-${index}`, 'hemlockway-gate', settings);
  }

  /**
   * Sends a signal to a process of this deployment.
   * @param name - name of the process, for example `scheduler-0`
   * @param signal - the signal
   */
  signal(name: string, signal: NodeJS.Signals): void {
    this.#childProcesses.get(name)?.kill(signal);
  }

  /**
   * Gets the process id of a process of this deployment.
   * @param name - name of the process, for example `scheduler-0`
   * @returns the process id, 0 when the process has not been started
   */
  getPid(name: string): number {
    return this.#childProcesses.get(name)?.pid ?? 0;
  }

  /**
   * Posts JSON to a process.
   * @param address - `ip:port`
   * @param path - request path
   * @param value - value to serialize
   * @returns the parsed response, undefined when there is none
   */
  async post(address: string, path: string, value: unknown): Promise<unknown> {
    const result = await this.#httpClient.postJson(address, path, value, CALL_TIMEOUT_MS);
    if (result.kind !== 'response') return undefined;
    return JSON.parse(result.body.toString('utf8'));
  }

  /** Kills all processes of this deployment and removes their settings and logs. */
  async stop(): Promise<void> {
    this.#childProcesses.forEach((child) => child.kill('SIGKILL'));
    await sleep(STOP_GRACE_MS);
    await this.#httpClient.close();
    rmSync(this.#directory, { recursive: true });
  }

  #getGateAddress(index: number): string {
    return `${HOST}:${this.#options.basePort + 10 + index}`;
  }

  #getSchedulerAddress(index: number): string {
    return `${HOST}:${this.#options.basePort + 30 + index}`;
  }

  #getTargetPort(index: number): number {
    return this.#options.basePort + 100 + index;
  }

  #getDataCentreId(index: number): string {
    const { groups } = this.#options;
    return groups[index % groups.length]?.dataCentreId ?? '';
  }

  #getVms(): readonly Vm[] {
    const locations = this.#options.groups.flatMap((group) =>
      Array.from({ length: group.count }, (_, index) => ({
        dataCentreId: group.dataCentreId as DataCentreId,
        rack: `${group.dataCentreId}-rack-${Math.floor(index / group.targetsPerRack)}`,
      })),
    );
    return locations.map((location, index) => ({
      vmId: `target-${index}` as VmId,
      role: 'target',
      address: `${HOST}:${this.#getTargetPort(index)}`,
      capacity: this.#options.capacity,
      leaving: false,
      ...location,
    }));
  }

  async #waitFor(address: string, path: string): Promise<void> {
    for (let attempt = 0; attempt < 100; attempt += 1) {
      const result = await this.#httpClient.perform({
        method: 'GET',
        address,
        path,
        headers: {},
        body: '',
        timeoutMs: CALL_TIMEOUT_MS,
      });
      if (result.kind === 'response') return;
      await sleep(100);
    }
    throw new Error(`no answer from ${address}${path}`);
  }

  #spawnWithSettings(name: string, program: string, settings: object): void {
    const file = join(this.#directory, `${name}.json`);
    writeFileSync(file, JSON.stringify(settings));
    this.#spawn(name, program, ['--settings', file]);
  }

  #spawn(name: string, program: string, args: readonly string[]): void {
    const log = openSync(join(this.#directory, `${name}.log`), 'a');
    const child = spawn(process.execPath, [`dist/${program}.js`, ...args], {
      stdio: ['ignore', log, log],
    });
    this.#childProcesses.set(name, child);
  }

  /** Directory of the settings and logs. */
  get directory(): string {
    return this.#directory;
  }
}
