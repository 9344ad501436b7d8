import {describeFaultCases} from './fault-cases.js';

describeFaultCases({
	title: 'keyed calls while instances fail',
	seed: 61_000,
	cases: [
		{name: 'no fault', steps: [{faults: [], durationMs: 500}]},
		{name: 'an instance killed', steps: [{faults: ['entry-killed'], durationMs: 700}]},
		{name: 'an instance paused past the deadlines', steps: [{faults: ['entry-paused'], durationMs: 2000}]},
		{name: 'an instance paused twice', steps: [{faults: ['entry-paused'], durationMs: 900}, {faults: ['entry-paused'], durationMs: 900}]},
		{name: 'the path from callers cut', steps: [{faults: ['callers-cut'], durationMs: 700}]},
		{name: 'silence towards callers', steps: [{faults: ['callers-silent'], durationMs: 700}]},
		{name: 'one killed while another is paused', steps: [{faults: ['entry-killed', 'entry-paused'], durationMs: 1500}]},
	],
});
