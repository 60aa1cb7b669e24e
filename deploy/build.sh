# Installs what the pooler role needs into target/deps; does nothing when that is up to date.
set -eu
stamp=target/deps/.installed
if [ ! -f "$stamp" ] || [ "$stamp" -ot deploy/requirements.txt ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --target target/deps --requirement deploy/requirements.txt
    touch "$stamp"
fi
ln -sfn ../../src/cassiaseam target/deps/cassiaseam
python3 -m compileall -q src/cassiaseam
