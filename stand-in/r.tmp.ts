import {createRandom} from '../source/randomness/index.js';
import {playQuotas, type QuotaFault} from './model/quota-system.js';
const [seed='1', mode='all', ms='24000'] = process.argv.slice(2);
const entryCount=150, count=90, total=725;
const random=createRandom(Number(seed)+1000);
const sum=Array.from({length:count},(_,k)=>(k+1)**-1.2).reduce((a,b)=>a+b,0);
const loads=Array.from({length:count},(_,k)=>total*(k+1)**-1.2/sum);
const workspaces=loads.map((l,k)=>({name:`ws${String(k).padStart(3,'0')}`,keyDigests:[],quota:{requestsPerSecond:Math.max(2,Math.round(l*1.6)),burst:Math.max(2,Math.round(l*0.16))}}));
const entriesByWorkspace=loads.map((l,k)=>{const n=Math.min(entryCount,Math.max(2,Math.round(l*6))); const s=new Set<number>(); while(s.size<n)s.add(Math.floor(random()*entryCount)); return [...s];});
const faults:QuotaFault[]=[];
if(mode.includes('leader')||mode==='all') faults.push({at:9000,kind:'replaceLeader',gapMilliseconds:700,isNoticed:true});
if(mode.includes('kill')||mode==='all') for(let e=0;e<15;e++) faults.push({at:15000,kind:'kill',entry:e*10},{at:17000,kind:'restart',entry:e*10});
const hot=new Map([[3,9.5],[12,9.5],[60,9.5],[85,9.5]]);
const isHot=(w:number,now:number)=>mode==='all'&&hot.has(w)&&now%10000>4000&&now<24000;
const hr=process.hrtime.bigint();
const r=await playQuotas({seed:Number(seed),milliseconds:Number(ms),entryCount,workspaces,entriesByWorkspace,tolerance:{windowSeconds:5,overshoot:.1,slack:20},links:{lossShare:.04,isRepeating:true,doubledShare:0,lateShare:0,lateMilliseconds:0,latencyMilliseconds:0.6},faults,mistake:'none',isDisturbed:false,getLoad:(w,now)=>Math.max(.05,loads[w]!)*(isHot(w,now)?hot.get(w)!:1)});
const calmNames=new Set(workspaces.filter((_,i)=>!(mode==='all'&&hot.has(i))).map(w=>w.name));
const rows=(from:number,to:number)=>{const q=r.requests.filter(x=>x.at>=from&&x.at<to&&calmNames.has(x.workspace)); const w=q.filter(x=>x.kind==='passed').map(x=>x.waitedMilliseconds).sort((a,b)=>a-b); return `${from}-${to}: ${q.length} quota ${(100*q.filter(x=>x.kind==='quota').length/q.length).toFixed(2)}% unavailable ${(100*q.filter(x=>x.kind==='quota-unavailable').length/q.length).toFixed(2)}% wait p50 ${w[w.length>>1]} p90 ${w[Math.floor(w.length*.9)]} p99 ${w[Math.floor(w.length*.99)]} asked ${(100*w.filter(x=>x>0).length/w.length).toFixed(1)}%`};
console.log('share',r.largestShare.toFixed(3),'questions/s',(r.questions/Number(ms)*1000).toFixed(0),'B/s/entry',(r.bytes/entryCount/Number(ms)*1000).toFixed(0),'leader core %',(r.leaderMilliseconds/Number(ms)*100).toFixed(2),'real',Number(process.hrtime.bigint()-hr)/1e9);
for (const [a,b] of [[1000,4000],[4000,9000],[9000,9700],[9700,12700],[12700,15000],[15000,17000],[17000,20000],[20000,24000]]) if(b<=Number(ms)) console.log(rows(a,b));
if (process.argv[5]) for (let t=9000;t<13000;t+=250) { const q=r.requests.filter(x=>x.at>=t&&x.at<t+250&&calmNames.has(x.workspace)); const big=new Set(workspaces.slice(0,5).map(w=>w.name)); const mid=new Set(workspaces.slice(5,25).map(w=>w.name)); const f=(p:any)=>{const z=q.filter(p);return `${z.filter(x=>x.kind==='quota-unavailable').length}+${z.filter(x=>x.kind==='quota').length}/${z.length}`}; console.log(t,'big',f((x:any)=>big.has(x.workspace)),'mid',f((x:any)=>mid.has(x.workspace)),'small',f((x:any)=>!big.has(x.workspace)&&!mid.has(x.workspace))); }

