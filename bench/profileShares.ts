/** Shares of a processor profile by part of the program, and its functions with the most time of their own. */

import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import type { Profiler } from 'node:inspector';

const US_PER_MS = 1_000;

/**
 * Parts of the program by a fragment of the module's path; the first match counts. Functions of other modules, and of
 * Node.js, belong to the part that called them.
 */
const PARTS: readonly (readonly [fragment: string, part: string])[] = [
  ['node_modules/zod/', 'decode'],
  ['src/types/json.ts', 'decode'],
  ['platform/targetAnswers.ts', 'decode'],
  ['node_modules/bunyan/', 'log and metrics'],
  ['node_modules/hdr-histogram-js/', 'log and metrics'],
  ['src/observe/', 'log and metrics'],
  ['node_modules/json-rpc-2.0/', 'links to nodes'],
  ['src/peer/', 'links to nodes'],
  ['src/store/', 'store'],
  ['platform/storeClient.ts', 'store'],
  ['src/node/ownerWrites.ts', 'store'],
  ['src/owner/', 'decide'],
  ['src/work/', 'decide'],
  ['node_modules/undici/', 'encode and call'],
  ['src/rpc/', 'encode and call'],
  ['platform/targetClient.ts', 'encode and call'],
  ['src/node/ownerHost.ts', 'host'],
  ['src/node/', 'node'],
];

const GARBAGE_COLLECTION = '(garbage collector)';
const IDLE = '(idle)';

/** Function of the inspector in which the profile starts and stops. */
const INSPECTOR_FUNCTION = 'dispatch';
const RUNTIME_PART = 'runtime';

/** Time of one function or part. */
export interface TimeShare {
  readonly name: string;
  readonly timeMs: number;
}

/** Times of a profile. */
export interface ProfileShares {
  readonly parts: readonly TimeShare[];
  readonly functions: readonly TimeShare[];
}

/** Paths of the modules in a bundle, which names them in comments. */
class BundleModules {
  #pathsByUrl = new Map<string, readonly string[]>();

  /** Gets the path of the module at a line, counted from 0; empty for code outside of bundles. */
  getPath(url: string, line: number): string {
    if (!url.startsWith('file:') && !url.startsWith('/')) return '';
    const known = this.#pathsByUrl.get(url);
    const paths = known ?? BundleModules.#readPaths(url);
    if (known === undefined) this.#pathsByUrl.set(url, paths);
    return paths[line] ?? '';
  }

  static #readPaths(url: string): readonly string[] {
    const path = url.startsWith('file:') ? fileURLToPath(url) : url;
    let current = '';
    return readFileSync(path, 'utf8')
      .split('\n')
      .map((line) => {
        const comment = /^\/\/ (\S+\.[cm]?[jt]s)$/.exec(line);
        if (comment !== null) current = comment[1] ?? '';
        return current;
      });
  }
}

function addTime(times: Map<string, number>, name: string, timeMs: number): void {
  times.set(name, (times.get(name) ?? 0) + timeMs);
}

function toShares(times: ReadonlyMap<string, number>): readonly TimeShare[] {
  return [...times]
    .map(([name, timeMs]) => ({ name, timeMs }))
    .sort((left, right) => right.timeMs - left.timeMs);
}

/** Sums the time of each node of the profile, without the functions that it called. */
function getOwnTimes(profile: Profiler.Profile): ReadonlyMap<number, number> {
  const times = new Map<number, number>();
  profile.samples?.forEach((id, index) => {
    const deltaMs = (profile.timeDeltas?.[index] ?? 0) / US_PER_MS;
    times.set(id, (times.get(id) ?? 0) + deltaMs);
  });
  return times;
}

/**
 * Divides the time of a profile among the parts of the program.
 * @param profile - a processor profile of a bundled program
 * @returns the times by part and by function, without idle time, the longest first
 */
export function getProfileShares(profile: Profiler.Profile): ProfileShares {
  const modules = new BundleModules();
  const nodes = new Map(profile.nodes.map((node) => [node.id, node]));
  const ownTimes = getOwnTimes(profile);
  const parts = new Map<string, number>();
  const functions = new Map<string, number>();
  const visit = (id: number, callerPart: string) => {
    const node = nodes.get(id);
    if (node === undefined) return;
    const { functionName, url, lineNumber } = node.callFrame;
    if (functionName === INSPECTOR_FUNCTION && url === '') return;
    const path = modules.getPath(url, lineNumber);
    const known = PARTS.find(([fragment]) => path.includes(fragment));
    const ownPart = functionName === GARBAGE_COLLECTION ? 'garbage collection' : known?.[1];
    const part = ownPart ?? callerPart;
    const timeMs = ownTimes.get(id) ?? 0;
    if (functionName !== IDLE && timeMs > 0) {
      const shortPath = path.replace(/^.*node_modules\//, '');
      addTime(parts, part, timeMs);
      addTime(functions, `${functionName || '(anonymous)'} ${shortPath || url}`, timeMs);
    }
    node.children?.forEach((childId) => visit(childId, part));
  };
  const [root] = profile.nodes;
  if (root !== undefined) visit(root.id, RUNTIME_PART);
  return { parts: toShares(parts), functions: toShares(functions) };
}
