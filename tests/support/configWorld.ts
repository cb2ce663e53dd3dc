/**
 * Simulates a cluster with operators and callers, and checks guarantees 3, 4, 6, 10 and 12: who may
 * run what and where under each version, and that no process returns to an older version.
 */

import type { AcceptedConfig, ChangeResponse, ConfigChange, Sheet } from '../../src/config/types';
import { isConfigVersionRow } from '../../src/config/rows';
import type { RequestStart } from '../../src/rpc/types';
import { toConfigVersion, toId } from '../../src/types/ids';
import type { ConfigVersion } from '../../src/types/ids';
import type { RequestOutcome, Result } from '../../src/types/outcomes';
import { GATE_COUNT, GateSimulation } from './gateSimulation';
import { createSheet, TARGET_CAPACITY } from './sheets';
import { World } from './world';

export const TEAMS = ['team-a', 'team-b'];
export const DATA_CENTRES = ['rotterdam', 'delft'];
/** Documented time limit for the enforcement of a withdrawn key or a closed data centre. */
export const CONFIG_ENFORCEMENT_MS = 9_000;

const PROBE_INTERVAL_MS = 400;
const PROBES = TEAMS.flatMap((teamId) =>
  [...TEAMS, 'open'].map((queueId) => ({ teamId, keyId: `key-${teamId}`, queueId })),
);

export interface AnsweredChange {
  readonly answeredAtMs: number;
  readonly version: ConfigVersion;
}

export function createConfigSheet(overrides: { inService?: boolean } = {}): Sheet {
  const sheet = createSheet(TEAMS, DATA_CENTRES);
  const openQueue = { queueId: toId('open'), access: { kind: 'open' }, urgency: 'normal' } as const;
  const dataCentres = sheet.dataCentres.map((known) => ({ ...known, ...overrides }));
  return { ...sheet, dataCentres, queues: [...sheet.queues, openQueue as Sheet['queues'][number]] };
}

/** Drives one simulated cluster and collects violations. */
export class ConfigWorld {
  readonly world: World;

  readonly answered: AnsweredChange[] = [];

  readonly outcomes: Result<ChangeResponse>[] = [];

  readonly violations: string[] = [];

  probeCount = 0;

  countByOutcome = new Map<string, number>();

  readonly gates: GateSimulation;

  #operationCount = 0;

  #checkedRunCount = 0;

  #leavingSinceMs = new Map<string, number>();

  #versionByProcess = new Map<string, number>();

  constructor(seed: number, memberCount = 3) {
    this.world = new World({
      seed,
      memberCount,
      dataCentreIds: DATA_CENTRES,
      targetsPerDataCentre: 3,
      capacity: TARGET_CAPACITY,
    });
    this.world.onEvent = (process, event, effects) => {
      const dump = process.core.dump(this.world.nowMs);
      const version = dump.configVersion;
      const key = `${process.index}/${process.generation}`;
      if (version < (this.#versionByProcess.get(key) ?? 0))
        this.violations.push(`${key} returned to an older version`);
      this.#versionByProcess.set(key, version);
      if (dump.configFreshForMs > 0 && version < this.getRequiredVersion()) {
        this.violations.push(`${key} admits work under version ${version} at ${event.nowMs}`);
      }
      const isStart = effects.some(
        (effect) =>
          effect.kind === 'callTarget' && ['request', 'startTask'].includes(effect.call.kind),
      );
      if (isStart && version < this.getRequiredVersion()) {
        this.violations.push(`${key} started work under version ${version} at ${event.nowMs}`);
      }
    };
    this.world.runFor(2_500);
    this.change(0, {
      kind: 'applySheet',
      basedOnVersion: toConfigVersion(0),
      sheet: createConfigSheet(),
    });
    this.world.runFor(9_000);
    this.gates = new GateSimulation(this.world);
    this.world.runFor(1_500);
  }

  /** Lowest version under which a process may still admit work. */
  getRequiredVersion(): number {
    return this.answered
      .filter((change) => change.answeredAtMs + CONFIG_ENFORCEMENT_MS <= this.world.nowMs)
      .reduce((highest, change) => Math.max(highest, change.version), 0);
  }

  change(index: number, change: ConfigChange, operationId = ''): void {
    this.#operationCount += 1;
    const id = operationId || `op-${this.#operationCount}`;
    this.world.call(index, { kind: 'changeConfig', change, operationId: toId(id) }, (value) => {
      const result = value as Result<ChangeResponse>;
      this.outcomes.push(result);
      if (result.kind === 'error') return;
      this.answered.push({ answeredAtMs: this.world.nowMs, version: result.value.version });
    });
  }

  /** Makes a target report that it is leaving; the platform's VM list never shows it. */
  startLeaving(address: string): void {
    this.world.targets.get(address)?.setFaults({ isLeaving: true });
    if (!this.#leavingSinceMs.has(address)) this.#leavingSinceMs.set(address, this.world.nowMs);
  }

  /** Reads all accepted versions from their immutable rows. */
  getVersions(): readonly AcceptedConfig[] {
    const { faults } = this.world.store;
    this.world.store.setFaults({ isDown: false });
    const call = { kind: 'range', prefix: 'config/version/', after: '', limit: 1_000 } as const;
    const result = this.world.store.perform(call, this.world.nowMs);
    this.world.store.setFaults(faults);
    if (result.kind !== 'rows') return [];
    return result.rows.flatMap(({ value }) => (isConfigVersionRow(value) ? [value.config] : []));
  }

  /** Advances time while callers use every key and queue through every live process. */
  runFor(durationMs: number): void {
    const untilMs = this.world.nowMs + durationMs;
    while (this.world.nowMs < untilMs) {
      this.world.processes.forEach((process) => this.#probe(process.index));
      PROBES.forEach((probe, index) => this.#probeGate(index % GATE_COUNT, probe));
      this.world.runFor(Math.min(PROBE_INTERVAL_MS, untilMs - this.world.nowMs));
      this.#checkRuns();
    }
  }

  #probe(index: number): void {
    if (this.world.processes[index]?.isDown !== false) return;
    PROBES.forEach(({ teamId, keyId, queueId }) => {
      this.probeCount += 1;
      const call: RequestStart = {
        kind: 'startRequest',
        requestId: toId(`${this.probeCount}|${teamId}|${keyId}|${queueId}`),
        cancelId: String(this.probeCount),
        teamId: toId(teamId),
        keyId: toId(keyId),
        queueId: toId(queueId),
        serviceName: '',
        isIdempotent: true,
        windowRemainingMs: 12_000,
        contentType: 'text/plain',
        bodyBase64: '',
      };
      this.world.call(index, call, (value) => {
        const outcome = value as RequestOutcome;
        const name = outcome.kind === 'refusedNotRun' ? outcome.reason : outcome.kind;
        this.countByOutcome.set(name, (this.countByOutcome.get(name) ?? 0) + 1);
      });
    });
  }

  #probeGate(gate: number, { teamId, keyId, queueId }: (typeof PROBES)[number]): void {
    this.probeCount += 1;
    this.gates.send(gate, {
      kind: 'request',
      token: `${keyId}:secret-${teamId}`,
      queueId: toId(queueId),
      requestId: toId(`${this.probeCount}|${teamId}|${keyId}|${queueId}`),
      windowMs: 12_000,
      isIdempotent: true,
      serviceName: '',
      contentType: 'text/plain',
      body: Buffer.from(''),
    });
  }

  /** A run is allowed if a version that was not overridden more than 9 s before permits it. */
  #checkRuns(): void {
    const runs = this.world.requestRuns.slice(this.#checkedRunCount);
    this.#checkedRunCount = this.world.requestRuns.length;
    if (runs.length === 0) return;
    const versions = this.getVersions();
    runs.forEach((run) => {
      const leavingSinceMs = this.#leavingSinceMs.get(run.address) ?? Number.POSITIVE_INFINITY;
      if (run.atMs > leavingSinceMs + CONFIG_ENFORCEMENT_MS) {
        this.violations.push(
          `${run.requestId} ran at ${run.atMs} on ${run.address}, which is leaving`,
        );
      }
      const [, teamId, keyId, queueId] = run.requestId.split('|');
      const requiredVersion = this.answered
        .filter((change) => change.answeredAtMs + CONFIG_ENFORCEMENT_MS <= run.atMs)
        .reduce((highest, change) => Math.max(highest, change.version), 0);
      const isAllowed = versions
        .filter((config) => config.version >= requiredVersion)
        .some(({ sheet }) => {
          const key = sheet.keys.find((known) => known.keyId === keyId);
          const queue = sheet.queues.find((known) => known.queueId === queueId);
          const isQueueOpen =
            queue?.access.kind === 'open' ||
            (queue?.access.kind === 'team' && queue.access.teamId === teamId);
          const dataCentre = sheet.dataCentres.find((known) =>
            run.address.startsWith(`target-${known.dataCentreId}-`),
          );
          return key?.teamId === teamId && isQueueOpen && dataCentre?.inService === true;
        });
      if (!isAllowed)
        this.violations.push(
          `${run.requestId} ran at ${run.atMs} on ${run.address} without permission`,
        );
    });
  }
}
