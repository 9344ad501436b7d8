import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RequestAdmission} from '@pomelopick/calls.relay';
import type {Identity, RelayedRequest} from '@pomelopick/calls.relay';
import {AdmissionTable, DeadlineCheck} from '@pomelopick/steering.admission';
import type {PlacementRefusal} from '@pomelopick/steering.objects';
import {createScriptedRun} from './scripted-run.js';

const identity: Identity = {organisation: undefined, keyDigest: undefined};
const TOO_LONG = {
	waitMs: 9000, expectedMs: 9100, maxWaitMs: 10_000, reliableTimes: {waitMs: 9000, workMs: 100},
};

function createAdmission({reportsWorkFactor = false, admissions = new AdmissionTable()}: {readonly reportsWorkFactor?: boolean; readonly admissions?: AdmissionTable} = {}): RequestAdmission {
	return new RequestAdmission({
		admissions, deadlines: new DeadlineCheck(), reportsWorkFactor: () => reportsWorkFactor, now: () => performance.now(), random: () => 0,
	});
}

function createRequest(requestIdentity: Identity | undefined): RelayedRequest {
	return createScriptedRun({repeatability: 'idempotent', identity: requestIdentity}).request;
}

describe('RequestAdmission', () => {
	it('makes no decision where the configuration has no organisations and the servers report no work factor, as for earlier deployments', () => {
		assert.equal(createAdmission().decisionFor(createRequest(undefined)), undefined);
	});

	const enabled: ReadonlyArray<{readonly name: string; readonly admission: RequestAdmission; readonly identity: Identity | undefined}> = [
		{name: 'the configuration has organisations', admission: createAdmission(), identity},
		{name: 'the servers report their work factor', admission: createAdmission({reportsWorkFactor: true}), identity: undefined},
	];
	for (const {name, admission, identity: requestIdentity} of enabled) {
		it(`refuses requests that would be cut off where ${name}, and records what was compared`, () => {
			const decide = (): string | undefined => {
				const request = createRequest(requestIdentity);
				const refusal = admission.decisionFor(request)!(TOO_LONG);
				assert.equal(request.admission?.waitMs, 9000);
				assert.equal(request.admission?.workMs, 100);
				return refusal?.reason;
			};

			// The first request is let through, since nothing is known yet.
			assert.equal(decide(), undefined);
			assert.equal(decide(), 'deadline-unreachable');
		});
	}

	it('measures the pressure by waits, rejections and closed servers, of requests with organisations alone', () => {
		const closed: PlacementRefusal = {reason: 'backend-paused', detail: '', retryAfterMs: 0};
		const pressureAfter = ({requestIdentity, use}: {readonly requestIdentity: Identity | undefined; readonly use: (admission: RequestAdmission, request: RelayedRequest) => void}): number => {
			const admissions = new AdmissionTable();
			const admission = createAdmission({admissions, reportsWorkFactor: true});
			for (let requests = 0; requests < 200; requests += 1) {
				use(admission, createRequest(requestIdentity));
			}

			return admissions.pressures(performance.now()).get(createRequest(undefined).options.service) ?? 0;
		};

		const uses: ReadonlyArray<(admission: RequestAdmission, request: RelayedRequest) => void> = [
			(admission, request) => admission.decisionFor(request)!(TOO_LONG),
			(admission, request) => {
				admission.recordEnd({request, end: 'shed', load: undefined});
			},
			(admission, request) => {
				admission.recordUnplaced({request, refusal: closed});
			},
		];
		for (const use of uses) {
			assert.ok(pressureAfter({requestIdentity: identity, use}) > 0.9);
			assert.equal(pressureAfter({requestIdentity: undefined, use}), 0);
		}

		const rejectsDespiteRoom = (admission: RequestAdmission, request: RelayedRequest): void => {
			admission.recordEnd({request, end: 'shed', load: {running: 1, waiting: 0, slots: 4}});
		};

		assert.equal(pressureAfter({requestIdentity: identity, use: rejectsDespiteRoom}), 0);
	});

	it('decides on the share of an organisation once, so that a request that is placed again keeps its place', () => {
		const admissions = new AdmissionTable();
		const admission = createAdmission({admissions});
		const request = createRequest(identity);
		admission.decisionFor(request)!(TOO_LONG);
		const before = admissions.pressures(0);
		admission.decisionFor(request)!(TOO_LONG);
		assert.deepEqual(admissions.pressures(0), before);
	});
});
