import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseRequestTarget } from './request-target.js';

test('request target: origin form, absolute form and others', () => {
  const host = 'site.example';
  const cases: readonly [string, string | undefined, object | undefined][] = [
    ['/a/1?x=2', 'Site.Example:8080', { host, path: '/a/1?x=2' }],
    ['//a', 'site.example', { host, path: '//a' }],
    ['/http://b/c', 'site.example', { host, path: '/http://b/c' }],
    ['/a', undefined, { host: '', path: '/a' }],
    ['http://Site.example:80/a?x=1', 'other.example', { host, path: '/a?x=1' }],
    ['HTTPS://site.example', 'site.example', { host, path: '/' }],
    ['*', 'site.example', undefined],
    ['http:///a', 'site.example', undefined],
    ['', 'site.example', undefined],
  ];
  cases.forEach(([target, header, expected]) => {
    assert.deepEqual(parseRequestTarget(target, header), expected, target);
  });
});
