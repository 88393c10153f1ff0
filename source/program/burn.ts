/** Reports the burn rates of service-level objectives as a table, as JSON, or as an HTML page with plots. */
import {writeFileSync} from 'node:fs';
import {type BurnSummary, type ServiceBurn} from '../service-level/index.js';
import {callApi, getBodyOrThrow, type OperatorOptions} from './client.js';
import {printJson, printLine, printTable} from './print.js';

const plotWidthPixels = 360;
const plotHeightPixels = 60;

/** Options of `guavadeck burn`. */
export type BurnOptions = OperatorOptions & {readonly environment?: string; readonly html?: string};

/**
 * Reports the burn rates of an environment.
 * @param options - Environment and format of the report.
 */
export async function showBurn(options: BurnOptions): Promise<void> {
	const environment = options.environment ?? 'production';
	const summary = getBodyOrThrow<BurnSummary>(await callApi(options, 'GET', `/v1/environments/${environment}/burn`));
	if (options.html !== undefined) {
		writeFileSync(options.html, renderBurnPage(summary));
		printLine(`wrote ${options.html}`);
	}

	if (options.json) {
		printJson(summary);
	} else if (options.html === undefined) {
		printTable(
			['SERVICE', 'P50 MS', 'P99 MS', 'P99.9 MS', ...summary.services[0]?.windows.map(window => `${window.window} ERR/LATE`) ?? [], 'BUDGET LEFT', ''],
			summary.services.map(service => getTableRow(service)),
		);
	}
}

function getTableRow(service: ServiceBurn): readonly string[] {
	const windows = service.windows.map(window => `${window.availabilityBurn.toFixed(2)}/${window.latencyBurn.toFixed(2)}`);
	return [
		service.service, service.p50.toFixed(1), service.p99.toFixed(1), service.p999.toFixed(1), ...windows, `${(service.budgetLeft * 100).toFixed(1)}%`, service.isBurning ? 'BURNING' : '',
	];
}

/**
 * Renders a burn report as a self-contained HTML page.
 * @param summary - Burn rates of an environment.
 */
export function renderBurnPage(summary: BurnSummary): string {
	const sections = summary.services.map(service => renderService(service)).join('\n');
	return `<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>Service-level burn rates: ${escapeHtml(summary.environment)}</title>
<style>
body { font: 14px/1.4 sans-serif; margin: 2em; color: #222; }
table { border-collapse: collapse; margin: .5em 0; }
th, td { border: 1px solid #ccc; padding: .2em .6em; text-align: right; }
th:first-child, td:first-child { text-align: left; }
.burning { color: #b00020; font-weight: bold; }
svg { background: #f6f6f6; }
</style>
<h1>Service-level burn rates: ${escapeHtml(summary.environment)}</h1>
<p>A burn rate of 1 spends exactly the error budget. A service is burning if its rate is above 14.4 in both the 5 min and the 1 h window.</p>
${sections}
</html>
`;
}

function renderService(service: ServiceBurn): string {
	const {objective} = service;
	const rows = service.windows.map(window => `<tr><td>${escapeHtml(window.window)}</td><td>${window.total}</td><td>${window.failed}</td><td>${window.slow}</td><td>${window.availabilityBurn.toFixed(2)}</td><td>${window.latencyBurn.toFixed(2)}</td></tr>`).join('\n');
	return `<h2${service.isBurning ? ' class="burning"' : ''}>${escapeHtml(service.service)}${service.isBurning ? ' is burning' : ''}</h2>
<p>Objective: ${objective.availability * 100}% of requests succeed, ${objective.latencyShare * 100}% within ${objective.latencyMilliseconds} ms. Budget left: ${(service.budgetLeft * 100).toFixed(1)}%. Latency of the last hour: p50 ${service.p50.toFixed(1)} ms, p99 ${service.p99.toFixed(1)} ms, p99.9 ${service.p999.toFixed(1)} ms.</p>
${renderPlot(service.recent)}
<table><tr><th>Window</th><th>Requests</th><th>Failed</th><th>Late</th><th>Availability burn rate</th><th>Latency burn rate</th></tr>
${rows}
</table>`;
}

/** Renders the share of failed or late requests in each minute of the last hour as an SVG bar chart. */
function renderPlot(shares: readonly number[]): string {
	const largestShare = Math.max(0.01, ...shares);
	const barSpacing = plotWidthPixels / Math.max(1, shares.length);
	const bars = shares.map((share, index) => {
		const height = share / largestShare * plotHeightPixels;
		return `<rect x="${(index * barSpacing).toFixed(1)}" y="${(plotHeightPixels - height).toFixed(1)}" width="${(barSpacing - 1).toFixed(1)}" height="${height.toFixed(1)}" fill="#b00020"/>`;
	}).join('');
	return `<svg width="${plotWidthPixels}" height="${plotHeightPixels + 16}" role="img" aria-label="Failed or late requests per minute">${bars}<text x="0" y="${plotHeightPixels + 13}" font-size="11">Failed or late requests per minute in the last hour; top of the plot: ${(largestShare * 100).toFixed(1)}%</text></svg>`;
}

function escapeHtml(text: string): string {
	return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;').replaceAll('"', '&quot;');
}
