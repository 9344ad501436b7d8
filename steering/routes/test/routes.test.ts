import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {chooseTarget, RouteTable} from '@pomelopick/steering.routes';
import type {Route, RouteName, ServiceName} from '@pomelopick/core.types';

const route = (name: string, host: string, prefix: string): Route => ({
	name: name as RouteName,
	host,
	prefix,
	repeatability: 'idempotent',
	timeoutMs: 1000,
	targetLatencyMs: 100,
	priority: 0,
	targets: [{service: 'one' as ServiceName, weight: 1}],
	maxServers: 2,
	prefersWarmServers: false,
	homeRegions: [], isPublic: false, isUpload: false,
});

const table = new RouteTable([
	route('all', 'a.example', '/'),
	route('read', 'a.example', '/read/'),
	route('read-one', 'a.example', '/read/one/'),
	route('other', 'b.example', '/read/'),
]);

const cases: ReadonlyArray<{host: string; path: string; expected: string | undefined}> = [
	{host: 'a.example', path: '/read/one/5', expected: 'read-one'},
	{host: 'a.example', path: '/read/on', expected: 'read'},
	{host: 'a.example', path: '/read', expected: 'all'},
	{host: 'A.Example:8080', path: '/read/x?to=/read/one/', expected: 'read'},
	{host: 'a.example', path: '/?path=/read/', expected: 'all'},
	{host: 'b.example', path: '/read/one/5', expected: 'other'},
	{host: 'b.example', path: '/write/', expected: undefined},
	{host: 'c.example', path: '/read/', expected: undefined},
	{host: '', path: '/read/', expected: undefined},
];

describe('RouteTable', () => {
	for (const {host, path, expected} of cases) {
		it(`finds ${expected ?? 'none'} for ${host}${path}`, () => {
			assert.equal(table.find({host, path})?.name, expected);
		});
	}
});

describe('chooseTarget', () => {
	const split: Route = {
		...route('split', 'a', '/'),
		targets: [{service: 'one' as ServiceName, weight: 90}, {service: 'none' as ServiceName, weight: 0}, {service: 'two' as ServiceName, weight: 10}],
	};
	const parts: ReadonlyArray<{part: number; expected: string}> = [
		{part: 0, expected: 'one'},
		{part: 0.899, expected: 'one'},
		{part: 0.9, expected: 'two'},
		{part: 0.999_999, expected: 'two'},
	];
	for (const {part, expected} of parts) {
		it(`chooses ${expected} for part ${part}`, () => {
			assert.equal(chooseTarget({route: split, part}), expected);
		});
	}
});
