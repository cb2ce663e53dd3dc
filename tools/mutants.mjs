// Applies each recorded mutation to a scratch copy of the source and checks that its test fails.
import { spawnSync } from 'node:child_process';
import {
  cpSync,
  existsSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  symlinkSync,
  writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';

const COPIED = [
  'src',
  'standins',
  'platform',
  'tests',
  'tools',
  'demo',
  'samples',
  'jest.config.json',
  'package.json',
  'tsconfig.json',
];
const only = process.argv[2];

const mutations = readdirSync('tools/mutations')
  .filter((name) => name.endsWith('.json'))
  .filter((name) => only === undefined || name === `${only}.json`)
  .flatMap((name) => JSON.parse(readFileSync(join('tools/mutations', name), 'utf8')));

const folder = mkdtempSync(join(tmpdir(), 'hemlockway-mutants-'));
COPIED.filter((name) => existsSync(name)).forEach((name) => {
  cpSync(name, join(folder, name), { recursive: true });
});
symlinkSync(resolve('node_modules'), join(folder, 'node_modules'));

const survived = mutations.filter(({ name, file, find, replace, test }) => {
  const path = join(folder, file);
  const original = readFileSync(path, 'utf8');
  const occurrences = original.split(find).length - 1;
  if (occurrences !== 1) {
    console.log(`STALE    ${name}: found ${occurrences} times in ${file}`);
    return true;
  }
  writeFileSync(
    path,
    original.replace(find, () => replace),
  );
  const run = spawnSync('npx', ['jest', '--ci', test], { cwd: folder, encoding: 'utf8' });
  writeFileSync(path, original);
  const isCaught = run.status !== 0 && /Tests:.*\d+ failed/.test(run.stderr);
  console.log(`${isCaught ? 'caught  ' : 'SURVIVED'} ${name} (${test})`);
  return !isCaught;
});
rmSync(folder, { recursive: true });
console.log(`${mutations.length - survived.length} of ${mutations.length} mutations caught`);
if (survived.length > 0) process.exit(1);
