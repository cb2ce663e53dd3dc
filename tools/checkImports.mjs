// Fails when shipped source starts a process, a thread or a cluster, or writes to the file system.
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';

const FORBIDDEN_MODULE = /from '(node:)?(child_process|cluster|worker_threads|dgram-cluster)'/;
const FILE_WRITE =
  /\b(writeFile|appendFile|createWriteStream|mkdir|rename|unlink|rmdir|openSync)\w*\(/;

const files = readdirSync('src', { recursive: true })
  .filter((name) => name.endsWith('.ts'))
  .map((name) => join('src', name));
const offenders = files.filter((file) => {
  const text = readFileSync(file, 'utf8');
  return FORBIDDEN_MODULE.test(text) || FILE_WRITE.test(text);
});
offenders.forEach((file) => console.error(`forbidden import or file write: ${file}`));
if (offenders.length > 0) process.exit(1);
console.log(`imports checked: ${files.length} files`);
