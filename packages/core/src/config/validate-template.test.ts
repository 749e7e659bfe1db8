/** Tests that contradictions within a template are found with their lines. */
import test from 'ava';

import { validateTemplate } from './validate-template.js';

const keyHash = 'a'.repeat(64);

const createTemplateText = (change: (text: string) => string = text => text) =>
  change(`name = "desk"

[parameters.release]
type = "string"

[[models]]
alias = "style"
name = "style-base"
version = "\${release}"

[[operations]]
service = "guide"
operation = "publish"
idempotent = false

[customers.bogota]
key_hashes = ["${keyHash}"]
parameters = { release = "7" }
`);

const findIssues = (text: string) =>
  validateTemplate(text).swap().orDefault([]);

test('a template without contradictions is valid', t => {
  t.is(
    validateTemplate(createTemplateText())
      .map(({ name }) => name)
      .extract(),
    'desk',
  );
});

test('each contradiction is reported with its line', t => {
  const cases: [string, string, number, RegExp][] = [
    ['"${release}"', '"${relase}"', 9, /relase.*declared: release/],
    ['release = "7"', 'relese = "7"', 18, /lacks parameter "release"/],
    ['release = "7"', 'release = 7', 18, /must be a string/],
    ['idempotent', 'idempotnt', 14, /[Uu]nrecognized/],
  ];
  for (const [from, to, line, message] of cases) {
    const issues = findIssues(
      createTemplateText(text => text.replace(from, to)),
    );
    const match = issues.find(issue => message.test(issue.message));
    t.truthy(match, `${to}: ${JSON.stringify(issues)}`);
    t.is(match?.line, line, to);
  }
});

test('a repeated alias, operation or key hash is reported', t => {
  const duplicates = `
[[models]]
alias = "style"
name = "other"
version = "1"

[[operations]]
service = "guide"
operation = "publish"
idempotent = true

[customers.cali]
key_hashes = ["${keyHash}"]
parameters = { release = "7" }
`;
  const issues = findIssues(createTemplateText(text => text + duplicates));
  t.deepEqual(
    issues.map(({ key }) => key),
    ['models.1.alias', 'operations.1.operation', 'customers.cali.key_hashes'],
  );
});
