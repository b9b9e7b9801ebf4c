SELECT bed, count(*) FROM bookings b JOIN huts h ON h.id = b.hut WHERE day BETWEEN $1 AND $2 GROUP BY bed ORDER BY 2 DESC LIMIT 10
INSERT INTO bookings (hut, bed) VALUES ($1, $2), ('a''b', E'\n') ON CONFLICT (hut) DO UPDATE SET bed = excluded.bed RETURNING id
WITH d AS (DELETE FROM t WHERE a = ANY($1::int[]) RETURNING *) SELECT json_agg(d.*) FROM d
EXPLAIN (ANALYZE off, VERBOSE) UPDATE t SET a = CASE WHEN b THEN nextval('s') ELSE currval('s') END
SELECT * FROM a FOR UPDATE OF a NOWAIT; SET search_path = x; /* c */ -- d
CREATE TABLE t (a int PRIMARY KEY DEFAULT (1 + 2), CHECK (a > 0), EXCLUDE USING gist (c WITH &&))
SELECT swiftworks_status(), U&'\0041', $$dollar$$, x'1f', 1e10, .5, a[1:2], (b).c, d::numeric(3,2) FROM LATERAL f(1) WITH ORDINALITY
DROP TABLE IF EXISTS a.b, swiftworks_ledger CASCADE
