// Applies each recorded mutation to a temporary copy of the source and checks that the named test fails.
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

const COPIED_PATHS = [
  'bench',
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
const selectedName = process.argv[2];

const mutations = readdirSync('tools/mutations')
  .filter((name) => name.endsWith('.json'))
  .filter((name) => selectedName === undefined || name === `${selectedName}.json`)
  .flatMap((name) => JSON.parse(readFileSync(join('tools/mutations', name), 'utf8')));

const directory = mkdtempSync(join(tmpdir(), 'hemlockway-mutants-'));
COPIED_PATHS.filter((name) => existsSync(name)).forEach((name) => {
  cpSync(name, join(directory, name), { recursive: true });
});
symlinkSync(resolve('node_modules'), join(directory, 'node_modules'));

const survived = mutations.filter(({ name, file, find, replace, test }) => {
  const path = join(directory, file);
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
  const run = spawnSync('npx', ['jest', '--ci', test], { cwd: directory, encoding: 'utf8' });
  writeFileSync(path, original);
  const isCaught = run.status !== 0 && /Tests:.*\d+ failed/.test(run.stderr);
  console.log(`${isCaught ? 'caught  ' : 'SURVIVED'} ${name} (${test})`);
  return !isCaught;
});
rmSync(directory, { recursive: true });
console.log(`${mutations.length - survived.length} of ${mutations.length} mutations caught`);
if (survived.length > 0) process.exit(1);
