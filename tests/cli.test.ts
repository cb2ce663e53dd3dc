/** Commands against a fake gate: output, exit codes, retries and single-line errors. */

import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import {
  applySheet,
  changeConfig,
  checkSheet,
  diffSheet,
  grantKey,
  callAndRender,
  showConfig,
  submitJob,
} from '../src/cli/commands';
import { toCliResult } from '../src/cli/client';
import { parseAndRun } from '../src/cli/parser';
import { renderOutcome } from '../src/cli/renderOutcome';
import type { CliCall, CliResult, CommandOutcome, GateApi } from '../src/cli/types';
import { EMPTY_CONFIG } from '../src/config/types';
import {
  tryParseGateSettings,
  tryParseSchedulerSettings,
  tryReadSettings,
} from '../src/config/settings';
import { toConfigVersion } from '../src/types/ids';

const SHEETS = ['samples/spoorzijde.sheet.json', 'samples/mattis.sheet.json'] as const;
const CHANGE_ANSWER = {
  version: 8,
  ignoredKeyIds: ['key-old'],
  keptKeyIds: [],
  droppedKeyIds: [],
  stillOutDataCentreIds: [],
  unreachedProcessIds: ['s3#0'],
};

class FakeGate implements GateApi {
  readonly calls: CliCall[] = [];

  #results: CliResult[];

  constructor(...results: CliResult[]) {
    this.#results = results;
  }

  call(call: CliCall): Promise<CliResult> {
    this.calls.push(call);
    return Promise.resolve(this.#results.shift() ?? { kind: 'unknown', detail: 'ECONNREFUSED' });
  }
}

function readSheet(file: string) {
  return JSON.parse(readFileSync(file, 'utf8'));
}

function createConfig(file: string) {
  return { ...EMPTY_CONFIG, version: toConfigVersion(7), sheet: readSheet(file) };
}

function render(outcome: CommandOutcome, options: { json?: boolean; verbose?: boolean } = {}) {
  return renderOutcome(outcome, { json: false, verbose: false, ...options });
}

describe('input files', () => {
  const directory = mkdtempSync(join(tmpdir(), 'hemlockway-cli-'));
  const writeFile = (name: string, value: unknown) => {
    const file = join(directory, name);
    writeFileSync(file, typeof value === 'string' ? value : JSON.stringify(value));
    return file;
  };

  afterAll(() => rmSync(directory, { recursive: true }));

  test.each(SHEETS)('the sample %s is valid', (file) => {
    const outcome = checkSheet(file);
    expect(outcome).toMatchObject({ kind: 'output', exitCode: 0, value: { teams: 6, keys: 6 } });
  });

  test('the sample settings are valid', () => {
    const scheduler = tryReadSettings('samples/scheduler.settings.json', tryParseSchedulerSettings);
    expect(scheduler).toMatchObject({ kind: 'ok', value: { schedulerId: 'scheduler-1' } });
    const gate = tryReadSettings('samples/gate.settings.json', tryParseGateSettings);
    expect(gate).toMatchObject({ kind: 'ok', value: { gateId: 'gate-1' } });
  });

  test('one report lists every error of a settings file with path, actual and expected value', () => {
    const sample = readSheet('samples/gate.settings.json');
    const file = writeFile('gate.json', {
      ...sample,
      listen: { host: 'here', port: -1 },
      operatorTokenDigest: 'plain-text-secret',
      maxOpenRequests: 'many',
      surprise: 1,
    });
    const settings = tryReadSettings(file, tryParseGateSettings);
    const detail = settings.kind === 'error' ? settings.diagnostic.detail : '';
    expect(detail).toContain(`${file}: listen.host: got "here", `);
    expect(detail).toContain('listen.port: got -1, Too small: expected number to be >=0');
    expect(detail).toContain('operatorTokenDigest: got a hidden value, expected 64 hex digits');
    expect(detail).toContain('maxOpenRequests: got "many", Invalid input: expected number');
    expect(detail).toContain('surprise');
    expect(detail).not.toContain('plain-text-secret');
  });

  test('a missing, malformed or invalid sheet is reported on one line and exits with 2', () => {
    const sheet = readSheet(SHEETS[0]);
    const teams = [{ ...sheet.teams[0], limitSlots: -4 }, ...sheet.teams.slice(1), sheet.teams[1]];
    const outcomes = [
      checkSheet(join(directory, 'missing.json')),
      checkSheet(writeFile('broken.json', '{"teams": [,')),
      checkSheet(writeFile('wrong.json', { ...sheet, teams })),
    ];
    const lines = outcomes.map((outcome) => render(outcome).stderr);
    expect(outcomes.map((outcome) => outcome.exitCode)).toEqual([2, 2, 2]);
    lines.forEach((line) => expect(line).toMatch(/^hemlockway: HW7002 [^\n]+\n$/));
    expect(lines[0]).toContain('missing.json: cannot be read');
    expect(lines[1]).toContain('broken.json: expected JSON');
    expect(lines[2]).toContain('teams.0.limitSlots: got -4, Too small: expected number to be >=0');
  });

  test('an invalid job is not sent', async () => {
    const gate = new FakeGate();
    const outcome = await submitJob(gate, writeFile('job.json', { jobId: 'a b' }));
    expect(outcome.exitCode).toBe(2);
    expect(gate.calls).toEqual([]);
  });
});

describe('commands', () => {
  test('sheet diff lists each difference and exits with 4 only when there are differences', async () => {
    const config = createConfig(SHEETS[0]);
    const same = await diffSheet(new FakeGate({ kind: 'value', value: config }), SHEETS[0]);
    expect(same).toMatchObject({ exitCode: 0, text: 'no differences', value: [] });
    const [team, ...teams] = config.sheet.teams;
    const sheet = { ...config.sheet, teams: [{ ...team, limitSlots: 1 }, ...teams], keys: [] };
    const gate = new FakeGate({ kind: 'value', value: { ...config, sheet } });
    const different = await diffSheet(gate, SHEETS[0]);
    expect(different.exitCode).toBe(4);
    const { stdout } = render(different);
    expect(stdout).toContain('~ teams/slot-checks (limitSlots)\n+ keys/carrier-freight-1\n');
    expect(JSON.parse(render(different, { json: true }).stdout)).toHaveLength(7);
  });

  test('sheet apply is based on the current version or on the given one', async () => {
    const results = () => [
      { kind: 'value', value: createConfig(SHEETS[0]) } as const,
      { kind: 'value', value: CHANGE_ANSWER } as const,
    ];
    const [first, second] = [new FakeGate(...results()), new FakeGate(...results())];
    const outcome = await applySheet(first, SHEETS[1]);
    await applySheet(second, SHEETS[1], 5);
    expect(first.calls[1]).toMatchObject({ body: { kind: 'applySheet', basedOnVersion: 7 } });
    expect(second.calls[1]).toMatchObject({ body: { basedOnVersion: 5 } });
    expect(render(outcome).stdout).toBe(
      'version 8 accepted\nstill withdrawn, not restored: key-old\n' +
        'unconfirmed, admitting no work until confirmed: s3#0\n',
    );
  });

  test('a change without an answer is retried under the same id, then exits with 3', async () => {
    const unknownResult = { kind: 'unknown', detail: 'timeout' } as const;
    const refusedResult = { kind: 'refused', code: 'HW3004', message: 'no scheduler' } as const;
    const gate = new FakeGate(unknownResult, refusedResult, {
      kind: 'value',
      value: CHANGE_ANSWER,
    });
    const change = { kind: 'withdrawKey', keyId: 'k' };
    expect((await changeConfig(gate, change)).exitCode).toBe(0);
    expect(new Set(gate.calls.map((call) => call.operationId)).size).toBe(1);
    const unresponsive = new FakeGate();
    const outcome = await changeConfig(unresponsive, change);
    expect(outcome.exitCode).toBe(3);
    expect(unresponsive.calls).toHaveLength(3);
    const { stderr } = render(outcome);
    expect(stderr).toBe(
      'hemlockway: POST operator/config/changes: no answer, the outcome is unknown: ECONNREFUSED\n',
    );
    expect(render(outcome, { verbose: true }).stderr).toContain('caused by: VError: ECONNREFUSED');
  });

  test('a refusal exits with 1 and is not retried', async () => {
    const refusal = { kind: 'refused', code: 'HW6003', message: 'no such key: k' } as const;
    const gate = new FakeGate(refusal);
    const outcome = await grantKey(gate, 'k', 'team');
    expect(outcome.exitCode).toBe(1);
    expect(gate.calls).toHaveLength(1);
    expect(render(outcome).stderr).toContain('refused: HW6003 no such key: k\n');
  });

  test('key grant prints the key once and sends only its digest', async () => {
    const gate = new FakeGate({ kind: 'value', value: CHANGE_ANSWER });
    const outcome = await grantKey(gate, 'k', 'team');
    const secret = /shown once: k:(\S+)/.exec(render(outcome).stdout)?.[1] ?? '';
    expect(secret.length).toBeGreaterThanOrEqual(32);
    expect(JSON.stringify(gate.calls)).not.toContain(secret);
  });

  test('answers are rendered as tables, or as JSON on request', async () => {
    const status = await showConfig(
      new FakeGate({ kind: 'value', value: createConfig(SHEETS[1]) }),
    );
    expect(render(status).stdout).toContain(
      'TEAM             SHARE  LIMIT\nshop-counters    3      100',
    );
    expect(render(status).stdout).not.toContain(readSheet(SHEETS[1]).keys[0].secretDigest);
    const jobs = [
      { jobId: 'plan-1', phase: 'running' },
      { jobId: 'p2', phase: 'queued' },
    ];
    const list = await callAndRender(new FakeGate({ kind: 'value', value: jobs }), {
      method: 'GET',
      path: 'jobs',
    });
    expect(render(list).stdout).toBe('jobId   phase\nplan-1  running\np2      queued\n');
    expect(JSON.parse(render(list, { json: true }).stdout)).toEqual(jobs);
  });

  test('the outcome is unknown after a malformed answer or a gateway timeout', () => {
    const getResultKind = (status: number, text: string) =>
      toCliResult({ kind: 'response', status, contentType: '', body: Buffer.from(text) }).kind;
    expect(getResultKind(200, '<html>')).toBe('unknown');
    expect(getResultKind(504, '{"code":"HW6005","message":"m","detail":""}')).toBe('unknown');
    expect(getResultKind(409, '{"code":"HW6001","message":"m","detail":"d"}')).toBe('refused');
  });
});

describe('argument parsing', () => {
  const run = async (commandLine: string) => {
    const gate = new FakeGate(
      { kind: 'value', value: CHANGE_ANSWER },
      { kind: 'value', value: CHANGE_ANSWER },
    );
    const outcomes: CommandOutcome[] = [];
    const usageError = await parseAndRun(commandLine.split(' '), async (_options, command) => {
      outcomes.push(await command(gate));
    });
    return {
      outcomes,
      usageError,
      calls: gate.calls.map(({ method, path }) => `${method} ${path}`),
    };
  };

  test.each([
    ['sheet check samples/mattis.sheet.json', []],
    [
      'sheet apply samples/mattis.sheet.json --based-on 3',
      ['GET operator/config', 'POST operator/config/changes'],
    ],
    ['key grant k team', ['POST operator/config/changes']],
    ['key withdraw k --json', ['POST operator/config/changes']],
    ['datacentre out delft --gate 127.0.0.1:1', ['POST operator/config/changes']],
    ['job list', ['GET jobs']],
    ['job show j', ['GET jobs/j']],
    ['job cancel j', ['DELETE jobs/j']],
    ['state dump', ['GET operator/state']],
    ['drain scheduler-1', ['POST operator/drain/scheduler-1']],
    ['version', []],
  ])('%s', async (line, calls) => {
    const parsed = await run(line);
    expect(parsed.usageError).toBeUndefined();
    expect(parsed.outcomes.map((outcome) => outcome.exitCode)).toEqual([0]);
    expect(parsed.calls).toEqual(calls);
  });

  test.each([
    'sheet',
    'sheet burn',
    'key grant k',
    'datacentre up delft',
    'job',
    'list',
    'version --fast',
  ])('the usage error in "%s" is reported on one line and exits with 2', async (line) => {
    const { usageError, outcomes, calls } = await run(line);
    expect(outcomes).toEqual([]);
    expect(calls).toEqual([]);
    expect(usageError?.exitCode).toBe(2);
    expect(usageError && render(usageError).stderr).toMatch(/^hemlockway: [^\n]+\n$/);
  });
});
