// Runs all tests, ignores failures of exactly those tests that KNOWN-RED.txt lists, and prints these failures
// and the totals of the rest.
import { spawnSync } from 'node:child_process';
import { existsSync, mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

const KNOWN_RED_FILE = 'KNOWN-RED.txt';
const directory = mkdtempSync(join(tmpdir(), 'hemlockway-tests-'));
const reportFile = join(directory, 'report.json');

const readKnownRed = () => {
  if (!existsSync(KNOWN_RED_FILE)) return [];
  return readFileSync(KNOWN_RED_FILE, 'utf8')
    .split('\n')
    .filter((line) => line.startsWith('test: '))
    .map((line) => line.slice('test: '.length).trim());
};

const runSuites = (configFile) => {
  rmSync(reportFile, { force: true });
  const run = spawnSync(
    'npx',
    ['jest', '--ci', '--json', `--config=${configFile}`, `--outputFile=${reportFile}`],
    { stdio: ['ignore', 'ignore', 'inherit'] },
  );
  if (!existsSync(reportFile)) {
    console.error(`jest wrote no report (exit status ${run.status})`);
    process.exit(1);
  }
  return JSON.parse(readFileSync(reportFile, 'utf8')).testResults;
};

// Crowds of clients are measured one at a time, apart from all other tests.
const suites = ['jest.config.json', 'jest.crowds.config.json'].flatMap(runSuites);
rmSync(directory, { recursive: true });

const knownRed = readKnownRed();
const results = suites.flatMap((suite) => suite.assertionResults);
const brokenSuites = suites.filter(
  (suite) => suite.status === 'failed' && suite.assertionResults.length === 0,
);
const failed = results.filter((result) => result.status === 'failed');
const unexpected = failed.filter((result) => !knownRed.includes(result.fullName));
const passedCount = results.filter((result) => result.status === 'passed').length;

failed
  .filter((result) => knownRed.includes(result.fullName))
  .forEach((result) => console.log(`known red: ${result.fullName}`));
unexpected.forEach((result) => console.error(`failed: ${result.fullName}`));
brokenSuites.forEach((suite) => console.error(`did not run: ${suite.name}`));
console.log(`${passedCount} passed, ${unexpected.length + brokenSuites.length} failed`);
if (passedCount === 0 || unexpected.length + brokenSuites.length > 0) process.exit(1);
