/** What the demo and the benchmarks do as operators and submitters through the gates. */

import { setTimeout as sleep } from 'node:timers/promises';
import { getDigest } from '../src/config/keys';
import type { JobSummary } from '../src/jobs/types';
import type { Deployment } from './deployment';

const POLL_MS = 100;
const MAX_POLLS = 300;
const CALL_TIMEOUT_MS = 8_000;

/** Operators' token of every demo deployment. */
export const OPERATOR_TOKEN = 'demo-operator';

/** Answer of a gate. */
export interface GateReply {
  readonly status: number;
  readonly value: unknown;
}

/** The parts of a scheduler's dump that the demo reads. */
interface SchedulerDump {
  readonly status: { readonly freeSlots: number; readonly activeShards: readonly string[] };
}

/**
 * Gets the key of a demo team.
 * @param teamId - the team
 * @returns the bearer token
 */
export function getKey(teamId: string): string {
  return `key-${teamId}:secret-${teamId}`;
}

/**
 * Builds a sheet with one key and one queue per team; the first two teams are large.
 * @param teamIds - the teams
 * @param dataCentreIds - the data centres, all in service
 * @returns the sheet
 */
export function createDemoSheet(teamIds: readonly string[], dataCentreIds: readonly string[]) {
  return {
    teams: teamIds.map((teamId, index) => ({
      teamId,
      shareWeight: index < 2 ? 4 : 1,
      limitSlots: index < 2 ? 160 : 80,
    })),
    keys: teamIds.map((teamId) => ({
      keyId: `key-${teamId}`,
      teamId,
      secretDigest: getDigest(`secret-${teamId}`),
    })),
    queues: teamIds.map((teamId) => ({
      queueId: teamId,
      access: { kind: 'team', teamId },
      urgency: 'normal',
    })),
    dataCentres: dataCentreIds.map((dataCentreId) => ({
      dataCentreId,
      region: 'west',
      inService: true,
    })),
    shardsPerDataCentre: 3,
  };
}

/** Speaks to the gates of one deployment. */
export class Operator {
  #deployment: Deployment;

  /**
   * @param deployment - whose gates
   */
  constructor(deployment: Deployment) {
    this.#deployment = deployment;
  }

  /**
   * Calls the first gate.
   * @param method - HTTP method
   * @param path - the whole path
   * @param token - bearer token
   * @param body - JSON to send, if any
   * @returns status and parsed answer; status 0 when there was none
   */
  async call(
    method: 'GET' | 'POST',
    path: string,
    token: string,
    body?: unknown,
  ): Promise<GateReply> {
    const result = await this.#deployment.caller.perform({
      method,
      address: this.#deployment.gateAddresses[0] ?? '',
      path,
      headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json' },
      body: body === undefined ? '' : JSON.stringify(body),
      timeoutMs: CALL_TIMEOUT_MS,
    });
    if (result.kind !== 'response') return { status: 0, value: result.detail };
    return { status: result.status, value: JSON.parse(result.body.toString('utf8')) };
  }

  /**
   * Applies the first sheet of a new deployment, as soon as it is taken.
   * @param sheet - the sheet
   * @throws Error when it is not accepted in time
   */
  async applySheet(sheet: unknown): Promise<void> {
    const change = { kind: 'applySheet', basedOnVersion: 0, sheet };
    await Operator.#poll('the sheet was not accepted', async () => {
      const path = '/v1/operator/config/changes';
      const reply = await this.call('POST', path, OPERATOR_TOKEN, change);
      return reply.status === 200;
    });
  }

  /**
   * Waits until the live schedulers together may start work on so many slots.
   * @param slotCount - slots of all targets
   * @throws Error when it takes too long
   */
  async waitForSlots(slotCount: number): Promise<void> {
    await Operator.#poll(
      'the targets were not all owned',
      async () => (await this.getFreeSlots()) >= slotCount,
    );
  }

  /** @returns slots on which some scheduler may start work now */
  async getFreeSlots(): Promise<number> {
    const schedulers = await this.#dumpSchedulers();
    return schedulers.reduce((sum, scheduler) => sum + scheduler.status.freeSlots, 0);
  }

  /** @returns shards of targets on which some scheduler may start work now */
  async getActiveShardCount(): Promise<number> {
    const schedulers = await this.#dumpSchedulers();
    const shardIds = schedulers.flatMap((scheduler) => scheduler.status.activeShards);
    return new Set(shardIds.filter((shardId) => shardId.startsWith('targets.'))).size;
  }

  async #dumpSchedulers(): Promise<readonly SchedulerDump[]> {
    const state = await this.call('GET', '/v1/operator/state', OPERATOR_TOKEN);
    const { schedulers = [] } = state.value as { schedulers?: readonly SchedulerDump[] };
    return schedulers;
  }

  /**
   * Lists a team's jobs.
   * @param teamId - the team
   * @returns their summaries
   */
  async listJobs(teamId: string): Promise<readonly JobSummary[]> {
    const reply = await this.call('GET', '/v1/jobs', getKey(teamId));
    return reply.status === 200 ? (reply.value as readonly JobSummary[]) : [];
  }

  static async #poll(failure: string, isDone: () => Promise<boolean>): Promise<void> {
    for (let attempt = 0; attempt < MAX_POLLS; attempt += 1) {
      if (await isDone()) return;
      await sleep(POLL_MS);
    }
    throw new Error(failure);
  }
}
