/** Entry point of `npm run demo`: runs a small deployment under mixed load and kills one scheduler. */

import { setTimeout as sleep } from 'node:timers/promises';
import type { JobSummary } from '../src/jobs/types';
import { Metrics } from '../src/observe/metrics';
import type { TargetViolation } from '../standins/targetModel';
import { Deployment } from './deployment';
import { LoadGenerator } from './loadGenerator';
import type { LoadReport } from './loadGenerator';
import { createDemoSheet, getTeamToken, OperatorClient, OPERATOR_TOKEN } from './operatorClient';

const TEAMS = ['team-a', 'team-b', 'team-c', 'team-d', 'team-e', 'team-f'];
const DATA_CENTRES = ['rotterdam', 'kijfhoek', 'amsterdam', 'delft'];
const TARGET_COUNTS = [8, 8, 7, 7];
const TARGET_SLOTS = 8;
const MEMBER_COUNT = 3;
const BASE_PORT = 21_000;
const LOAD_DURATION_MS = 20_000;
const KILL_DELAY_MS = 6_000;
const REQUESTS_PER_SECOND = 150;
const REQUEST_WINDOW_MS = 3_000;
const REQUEST_SERVICE_MS = 20;
const FAILOVER_POLL_INTERVAL_MS = 100;
const FAILOVER_TIMEOUT_MS = 15_000;
const JOBS_POLL_INTERVAL_MS = 500;
const JOBS_TIMEOUT_MS = 30_000;
const KILLED_SCHEDULER = 'scheduler-2';

/** Jobs of each kind. Batch and gang jobs must finish; service and watch jobs must keep running. */
const JOBS = [
  ...Array.from({ length: 4 }, (_, index) => ({
    jobId: `plan-${index}`,
    policy: { kind: 'batch', taskCount: 4 },
    expectedRunMs: 6_000,
  })),
  { jobId: 'consist', policy: { kind: 'gang', taskCount: 3 }, expectedRunMs: 4_000 },
  {
    jobId: 'booking',
    policy: { kind: 'service', serviceName: 'booking', replicas: 3 },
    expectedRunMs: 0,
  },
  { jobId: 'track-watch', policy: { kind: 'watch' }, expectedRunMs: 0 },
].map((job) => ({ ...job, queueId: 'team-a', demand: { cpuMillis: 2_000, memoryMb: 1_024 } }));

interface TargetSummary {
  readonly violations: readonly TargetViolation[];
}

/** Number of violations of one guarantee; expected to be 0. */
interface CheckResult {
  readonly label: string;
  readonly count: number;
}

function isInExpectedState(job: JobSummary): boolean {
  const isLongRunning = job.kind === 'service' || job.kind === 'watch';
  return isLongRunning ? job.pendingCount === 0 && job.runningCount > 0 : job.phase === 'finished';
}

async function submitJobs(operator: OperatorClient): Promise<readonly string[]> {
  const replies = await Promise.all(
    JOBS.map((job) => operator.call('POST', '/v1/jobs', getTeamToken('team-a'), job)),
  );
  return JOBS.filter((_, index) => replies[index]?.status === 200).map((job) => job.jobId);
}

/** Waits until all acknowledged jobs are in their expected state; returns those that are not after the time-out. */
async function waitForJobs(
  operator: OperatorClient,
  acknowledgedJobIds: readonly string[],
): Promise<readonly string[]> {
  const startMs = performance.now();
  for (;;) {
    const jobs = await operator.listJobs('team-a');
    const settledJobIds = new Set(jobs.filter(isInExpectedState).map((job) => String(job.jobId)));
    const unsettledJobIds = acknowledgedJobIds.filter((jobId) => !settledJobIds.has(jobId));
    if (unsettledJobIds.length === 0 || performance.now() - startMs > JOBS_TIMEOUT_MS)
      return unsettledJobIds;
    await sleep(JOBS_POLL_INTERVAL_MS);
  }
}

/** Kills one scheduler and measures the time until the others own all target shards again. */
async function measureFailover(deployment: Deployment, operator: OperatorClient): Promise<number> {
  await sleep(KILL_DELAY_MS);
  const shardCount = await operator.getActiveShardCount();
  deployment.signal(KILLED_SCHEDULER, 'SIGKILL');
  const startMs = performance.now();
  for (;;) {
    await sleep(FAILOVER_POLL_INTERVAL_MS);
    const elapsedMs = performance.now() - startMs;
    if (elapsedMs > FAILOVER_TIMEOUT_MS || (await operator.getActiveShardCount()) >= shardCount) {
      return elapsedMs;
    }
  }
}

async function checkGuarantees(
  deployment: Deployment,
  operator: OperatorClient,
  report: LoadReport,
  acknowledgedJobIds: readonly string[],
): Promise<readonly CheckResult[]> {
  const [firstTarget = ''] = deployment.targetAddresses;
  const runEntries = (await deployment.post(firstTarget, '/control/runs', null)) as [
    string,
    number,
  ][];
  const runCounts = new Map(runEntries);
  const summaries = (await Promise.all(
    deployment.targetAddresses.map((address) => deployment.post(address, '/control/summary', null)),
  )) as TargetSummary[];
  const executedTwice = report.nonIdempotentIds.filter((id) => (runCounts.get(id) ?? 0) > 1);
  const unsettledJobIds = await waitForJobs(operator, acknowledgedJobIds);
  return [
    { label: 'acknowledged jobs not in their expected state', count: unsettledJobIds.length },
    { label: 'non-idempotent requests run more than once', count: executedTwice.length },
    {
      label: 'requests reported as not run, but run',
      count: report.notRunIds.filter((id) => runCounts.has(id)).length,
    },
    {
      label: 'overcommitments of targets',
      count: summaries.flatMap((summary) => summary.violations).length,
    },
    { label: 'responses mismatched, truncated or missing', count: report.violations.length },
  ];
}

function printRow(label: string, value: string | number): void {
  console.log(`  ${label.padEnd(48)} ${value}`);
}

function printReport(
  metrics: Metrics,
  failoverMs: number,
  acknowledgedJobIds: readonly string[],
): void {
  const { counters, latencies } = metrics.dump();
  console.log('requests by outcome');
  counters.forEach(({ name, value }) => printRow(name, value));
  console.log(`response time, including ${REQUEST_SERVICE_MS} ms of execution on the target`);
  latencies.forEach(({ name, p50Ms, p99Ms, maxMs }) => {
    const [p50, p99, max] = [p50Ms, p99Ms, maxMs].map((value) => value.toFixed(1));
    printRow(name, `p50 ${p50} ms, p99 ${p99} ms, max ${max} ms`);
  });
  console.log('jobs and failover');
  printRow('jobs acknowledged', acknowledgedJobIds.length);
  printRow('time until all targets are owned again', `${(failoverMs / 1_000).toFixed(1)} s`);
}

async function run(deployment: Deployment): Promise<boolean> {
  const operator = new OperatorClient(deployment);
  const metrics = new Metrics();
  await deployment.start();
  await operator.applySheet(createDemoSheet(TEAMS, DATA_CENTRES));
  await operator.waitForSlots(TARGET_COUNTS.reduce((sum, count) => sum + count * TARGET_SLOTS, 0));
  const acknowledgedJobIds = await submitJobs(operator);
  const loadGenerator = new LoadGenerator(
    deployment.httpClient,
    {
      gateAddresses: deployment.gateAddresses,
      teamIds: TEAMS,
      requestsPerSecond: REQUESTS_PER_SECOND,
      durationMs: LOAD_DURATION_MS,
      windowMs: REQUEST_WINDOW_MS,
      serviceMs: REQUEST_SERVICE_MS,
    },
    metrics,
  );
  const [report, failoverMs] = await Promise.all([
    loadGenerator.run(),
    measureFailover(deployment, operator),
  ]);
  const results = await checkGuarantees(deployment, operator, report, acknowledgedJobIds);
  printReport(metrics, failoverMs, acknowledgedJobIds);
  console.log('guarantee violations (expected: 0)');
  results.forEach(({ label, count }) => printRow(label, count));
  report.violations
    .slice(0, 3)
    .forEach((violation) => printRow(violation.requestId, violation.detail));
  return acknowledgedJobIds.length === JOBS.length && results.every(({ count }) => count === 0);
}

async function main(): Promise<void> {
  const deployment = new Deployment({
    basePort: BASE_PORT,
    memberCount: MEMBER_COUNT,
    groups: DATA_CENTRES.map((dataCentreId, index) => ({
      dataCentreId,
      count: TARGET_COUNTS[index] ?? 0,
      targetsPerRack: 6,
    })),
    capacity: {
      cpuMillis: 64_000,
      memoryMb: 131_072,
      accelerators: 0,
      slots: TARGET_SLOTS,
      connections: 64,
    },
    operatorToken: OPERATOR_TOKEN,
  });
  try {
    process.exitCode = (await run(deployment)) ? 0 : 1;
  } finally {
    await deployment.stop();
  }
}

main().catch((error: unknown) => {
  console.error(error);
  process.exitCode = 1;
});
