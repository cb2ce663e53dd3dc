// Bundles each program into a single file in dist/ and prints the bundle sizes.
import { existsSync, statSync } from 'node:fs';
import { build } from 'esbuild';

const PROGRAMS = [
  ['hemlockway', 'src/cli/main.ts'],
  ['hemlockway-gate', 'src/gate/main.ts'],
  ['hemlockway-node', 'platform/main.ts'],
  ['hemlockway-scheduler', 'src/scheduler/main.ts'],
  ['standin-platform', 'standins/platformMain.ts'],
  ['standin-target', 'standins/targetMain.ts'],
  ['demo', 'demo/main.ts'],
  ['bench', 'bench/main.ts'],
  ['owner-probe', 'bench/ownerProbe.ts'],
  ['soak', 'bench/soak.ts'],
  ['fleet-soak', 'bench/fleet/main.ts'],
]
  .filter(([, entry]) => existsSync(entry))
  .filter(([name]) => !process.argv.includes('--platform') || name === 'hemlockway-node');

/** Builds for the platform go to a directory of their own and contain only the programs that run there. */
const outputDirectory = process.argv.includes('--platform') ? 'target' : 'dist';
const isQuiet = process.argv.includes('--quiet');

await build({
  entryPoints: Object.fromEntries(PROGRAMS),
  outdir: outputDirectory,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  external: ['dtrace-provider', 'mv', 'safe-json-stringify'],
  logLevel: 'warning',
});

if (!isQuiet) {
  for (const [name] of PROGRAMS) {
    const sizeKb = Math.round(statSync(`${outputDirectory}/${name}.js`).size / 1024);
    console.log(`${name.padEnd(22)} ${String(sizeKb).padStart(6)} KB`);
  }
}
